package model_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/entry/chat"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/standin/model"
	"github.com/cicadamill/cicadamill/internal/standin/words"
	"github.com/cicadamill/cicadamill/internal/target/engine"
	"github.com/cicadamill/cicadamill/internal/target/remote"
)

const output = 20

func options(name string) model.Options {
	return model.Options{
		Name: name, Model: "m", WeightVersion: "1", BlockTokens: 4, CacheBlocks: 64, OutputTokens: output,
		DecodePerToken: time.Millisecond, MaxRunning: 2,
	}
}

func start(t *testing.T, o model.Options) (*model.Engine, *remote.Client, string) {
	t.Helper()
	standin := model.New(o)
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	return standin, remote.New(address, &http.Client{}), address
}

func chatBody(t *testing.T, prompt string) []byte {
	t.Helper()
	encoded, err := json.Marshal(map[string]any{"model": "p", "messages": []map[string]string{{"role": "user", "content": prompt}}})
	require.NoError(t, err)
	return encoded
}

// complete returns the text of a response. It calls do after stopAt chunks.
func complete(client *remote.Client, call engine.Call, stopAt int, do func() error) (string, error) {
	var answer chat.Accumulator
	seen := 0
	err := client.Complete(context.Background(), call, func(event engine.Event) error {
		token, ok := event.(engine.Token)
		if !ok {
			return nil
		}
		seen++
		if err := answer.Add(token.Data); err != nil || seen != stopAt || do == nil {
			return err
		}
		return do()
	})
	return answer.Text(), err
}

func expected(t *testing.T, call engine.Call) words.Generator {
	t.Helper()
	request, err := chat.Parse(call.Body)
	require.NoError(t, err)
	return words.New(request.Prompt, "1", call.Adapter)
}

func TestResumeOnAnotherEngine(t *testing.T) {
	first, one, _ := start(t, options("a"))
	_, other, _ := start(t, options("b"))
	call := engine.Call{Attempt: "1", Workspace: "w", Body: chatBody(t, strings.Repeat("long prompt ", 40)), WeightVersion: "1"}
	text, err := complete(one, call, 3, func() error { first.Restart(); return nil })
	require.Error(t, err)
	call.Offset = len(strings.Fields(text))
	require.Less(t, call.Offset, output)
	rest, err := complete(other, call, 0, nil)
	require.NoError(t, err)
	assert.Equal(t, expected(t, call).Text(0, output), text+rest)
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		fault model.Fault
		code  engine.Code
	}{
		"crash": {fault: model.Fault{Kind: "crash"}, code: engine.Broken},
		"cut":   {fault: model.Fault{Kind: "cut"}, code: engine.Broken},
		"stall": {fault: model.Fault{Kind: "stall", Millis: 20}},
		"slow":  {fault: model.Fault{Kind: "slow", Millis: 20, Factor: 5}},
		"leave": {fault: model.Fault{Kind: "leave"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			standin, client, _ := start(t, options("a"))
			call := engine.Call{Attempt: "1", Body: chatBody(t, "hi")}
			text, err := complete(client, call, 2, func() error { return standin.Inject(test.fault) })
			if test.code == "" {
				require.NoError(t, err)
				assert.Equal(t, expected(t, call).Text(0, output), text)
				return
			}
			var failure *engine.Error
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, test.code, failure.Code)
			assert.IsType(t, effect.Unknown{}, failure.Outcome)
		})
	}
}

func TestPoisonCrashes(t *testing.T) {
	o := options("a")
	o.Poison = "poison"
	_, client, _ := start(t, o)
	before, err := client.Load(context.Background())
	require.NoError(t, err)
	_, err = complete(client, engine.Call{Attempt: "1", Body: chatBody(t, "some poison")}, 0, nil)
	require.Error(t, err)
	after, err := client.Load(context.Background())
	require.NoError(t, err)
	assert.NotEqual(t, before.Incarnation, after.Incarnation)
}

func TestImport(t *testing.T) {
	tests := map[string]struct {
		change func(*engine.ImportRequest)
		code   engine.Code
	}{
		"same":              {change: func(*engine.ImportRequest) {}},
		"older weights":     {change: func(i *engine.ImportRequest) { i.WeightVersion = "0" }, code: engine.Stale},
		"other incarnation": {change: func(i *engine.ImportRequest) { i.Incarnation = "b-0" }, code: engine.Stale},
		"no source":         {change: func(i *engine.ImportRequest) { i.Source = "127.0.0.1:1" }, code: engine.Unreachable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			source, one, address := start(t, options("a"))
			sink, other, _ := start(t, options("b"))
			_, err := complete(one, engine.Call{Attempt: "1", Body: chatBody(t, strings.Repeat("long prompt ", 10))}, 0, nil)
			require.NoError(t, err)
			snapshot, err := one.Snapshot(context.Background())
			require.NoError(t, err)
			request := engine.ImportRequest{WeightVersion: "1", Incarnation: "b-1", Source: address, Blocks: snapshot.Blocks}
			test.change(&request)
			err = other.Import(context.Background(), request)
			if test.code == "" {
				require.NoError(t, err)
				assert.Equal(t, source.CachedBlocks(), sink.CachedBlocks())
				return
			}
			var failure *engine.Error
			require.True(t, errors.As(err, &failure))
			assert.Equal(t, test.code, failure.Code)
			assert.Empty(t, sink.CachedBlocks())
		})
	}
}

func TestOrdersWithOldFence(t *testing.T) {
	tests := map[string]struct {
		ignores bool
		weights string
	}{
		"refused": {weights: "3"},
		"ignored": {ignores: true, weights: "2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := options("a")
			o.IgnoresFence = test.ignores
			_, client, _ := start(t, o)
			require.NoError(t, client.Order(context.Background(), engine.LoadModel{Fence: 2, Model: "m", WeightVersion: "3"}))
			err := client.Order(context.Background(), engine.LoadModel{Fence: 1, Model: "m", WeightVersion: "2"})
			assert.Equal(t, test.ignores, err == nil)
			load, err := client.Load(context.Background())
			require.NoError(t, err)
			assert.Equal(t, test.weights, load.WeightVersion)
		})
	}
}
