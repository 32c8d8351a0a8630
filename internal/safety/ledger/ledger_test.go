package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/ledger"
)

// step is a message and the time since the previous one.
type step struct {
	after   time.Duration
	message ledger.Message
}

func run(steps []step) []ledger.Command {
	now := time.Unix(1000, 0)
	state := ledger.New(ledger.Call{Row: "r", Digest: "d", Nonce: "me"}, ledger.Limits{Hold: 5 * time.Second, JoinTimeout: 10 * time.Second})
	state, commands := state.Update(now, ledger.Begin{})
	for _, s := range steps {
		now = now.Add(s.after)
		state, commands = state.Update(now, s.message)
	}
	return commands
}

func names(commands []ledger.Command) []string {
	var all []string
	for _, command := range commands {
		switch c := command.(type) {
		case ledger.Refuse:
			all = append(all, "refuse "+c.Code+" "+effect.Name(c.Outcome))
		case ledger.Store:
			all = append(all, "keep "+c.Answer.Outcome)
		case ledger.Reserve:
			all = append(all, fmt.Sprintf("reserve at %d", c.IfVersion))
		case ledger.ReadAnswer:
			all = append(all, "read answer of "+c.Nonce)
		default:
			all = append(all, fmt.Sprintf("%T", c))
		}
	}
	return all
}

func TestUpdate(t *testing.T) {
	mine := ledger.Row{Version: 3, Record: ledger.Record{Nonce: "me", Digest: "d"}}
	otherOwner := ledger.Row{Version: 3, Record: ledger.Record{Nonce: "other", Digest: "d"}}
	otherRequest := ledger.Row{Version: 3, Record: ledger.Record{Nonce: "other", Digest: "x"}}
	notRun := ledger.Answer{Outcome: "notRun"}
	tests := map[string]struct {
		steps []step
		want  []string
	}{
		"reserved":                           {steps: []step{{0, ledger.Reserved{}}}, want: []string{"ledger.Dispatch"}},
		"hold time over when reserved":       {steps: []step{{5 * time.Second, ledger.Reserved{}}}, want: []string{"refuse ledgerSlow notRun", "keep notRun"}},
		"table down":                         {steps: []step{{0, ledger.Unavailable{}}}, want: []string{"refuse ledgerDown notRun"}},
		"lost reply, own row found":          {steps: []step{{0, ledger.Lost{}}, {0, mine}}, want: []string{"ledger.Dispatch"}},
		"lost reply, own row found too late": {steps: []step{{0, ledger.Lost{}}, {5 * time.Second, mine}}, want: []string{"refuse ledgerSlow notRun", "keep notRun"}},
		"lost reply, no row found":           {steps: []step{{0, ledger.Lost{}}, {0, ledger.Row{}}}, want: []string{"reserve at 0"}},
		"lost reply every time": {steps: []step{
			{0, ledger.Lost{}}, {0, ledger.Row{}}, {0, ledger.Lost{}}, {0, ledger.Row{}},
			{0, ledger.Lost{}}, {0, ledger.Row{}}, {0, ledger.Lost{}}, {0, ledger.Row{}},
		}, want: []string{"refuse ledgerBusy notRun", "keep notRun"}},
		"lost reply, table stays down":                        {steps: []step{{0, ledger.Lost{}}, {5 * time.Second, ledger.Unavailable{}}}, want: []string{"refuse ledgerDown notRun", "keep notRun"}},
		"key used for another request":                        {steps: []step{{0, ledger.Conflicted{}}, {0, otherRequest}}, want: []string{"refuse keyReused notRun"}},
		"duplicate of a call in progress":                     {steps: []step{{0, ledger.Conflicted{}}, {0, otherOwner}, {0, ledger.NoAnswer{}}}, want: []string{"ledger.Wait"}},
		"duplicate gives up waiting":                          {steps: []step{{0, ledger.Conflicted{}}, {0, otherOwner}, {10 * time.Second, ledger.NoAnswer{}}}, want: []string{"refuse underWay unknown"}},
		"duplicate gets the answer":                           {steps: []step{{0, ledger.Conflicted{}}, {0, otherOwner}, {0, ledger.Answer{Outcome: "answered"}}}, want: []string{"ledger.Reply"}},
		"duplicate of an unknown outcome":                     {steps: []step{{0, ledger.Conflicted{}}, {0, otherOwner}, {0, ledger.Answer{Outcome: "unknown"}}}, want: []string{"refuse outcomeUnknown unknown"}},
		"unrecognised outcome is unknown":                     {steps: []step{{0, ledger.Conflicted{}}, {0, otherOwner}, {0, ledger.Answer{Outcome: "?"}}}, want: []string{"refuse outcomeUnknown unknown"}},
		"freed reservation is replaced":                       {steps: []step{{0, ledger.Conflicted{}}, {0, otherOwner}, {0, notRun}}, want: []string{"reserve at 3"}},
		"conflict, then table down":                           {steps: []step{{0, ledger.Conflicted{}}, {5 * time.Second, ledger.Unavailable{}}}, want: []string{"refuse ledgerDown unknown"}},
		"answered":                                            {steps: []step{{0, ledger.Reserved{}}, {0, ledger.Finished{Outcome: effect.Answered{}, Answer: ledger.Answer{Outcome: "answered"}}}}, want: []string{"ledger.Reply", "keep answered"}},
		"target did not run":                                  {steps: []step{{0, ledger.Reserved{}}, {0, ledger.Finished{Outcome: effect.NotRun{}, Code: "x"}}}, want: []string{"refuse x notRun", "keep notRun"}},
		"target may have run":                                 {steps: []step{{0, ledger.Reserved{}}, {0, ledger.Finished{Outcome: effect.Unknown{}, Code: "x"}}}, want: []string{"refuse x unknown", "keep unknown"}},
		"missing outcome is unknown":                          {steps: []step{{0, ledger.Reserved{}}, {0, ledger.Finished{Code: "x"}}}, want: []string{"refuse x unknown", "keep unknown"}},
		"second reply is ignored":                             {steps: []step{{0, ledger.Reserved{}}, {0, ledger.Reserved{}}}, want: nil},
		"hold starts at the first write that may have landed": {steps: []step{{0, ledger.Lost{}}, {0, otherOwner}, {5 * time.Second, notRun}, {0, ledger.Conflicted{}}, {0, mine}}, want: []string{"refuse ledgerSlow unknown", "keep notRun"}},
		"hold restarts if no write can have landed":           {steps: []step{{0, ledger.Conflicted{}}, {0, otherOwner}, {5 * time.Second, notRun}, {0, ledger.Reserved{}}}, want: []string{"ledger.Dispatch"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, names(run(test.steps)))
		})
	}
}

func TestElapsedTakesTheLongerReading(t *testing.T) {
	from := time.Unix(100, 0)
	assert.Equal(t, 9*time.Second, ledger.Elapsed(from, time.Unix(109, 0)))
	now := time.Now()
	assert.Equal(t, time.Hour, ledger.Elapsed(now, now.Round(0).Add(time.Hour)))
}

func TestKeysDoNotCollide(t *testing.T) {
	assert.NotEqual(t, ledger.RowKey("a", "bc"), ledger.RowKey("ab", "c"))
	assert.NotEqual(t, ledger.Digest("s", "POST", "/p", "", []byte("ab")), ledger.Digest("s", "POST", "/pa", "", []byte("b")))
}

func ExampleState_Update() {
	state := ledger.New(ledger.Call{Row: "r", Nonce: "n"}, ledger.Limits{Hold: time.Second})
	now := time.Unix(0, 0)
	state, commands := state.Update(now, ledger.Begin{})
	fmt.Printf("%T\n", commands[0])
	_, commands = state.Update(now, ledger.Reserved{})
	fmt.Printf("%T\n", commands[0])
	// Output:
	// ledger.Reserve
	// ledger.Dispatch
}
