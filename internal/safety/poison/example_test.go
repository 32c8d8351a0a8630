package poison_test

import (
	"fmt"
	"time"

	"github.com/cicadamill/cicadamill/internal/safety/poison"
)

// Two different requests with the same part crash two targets; a third one isn't sent.
func Example() {
	counter, peer := poison.New(), poison.New()
	now := time.Unix(1000, 0)
	for i, target := range []string{"engine-1", "engine-2"} {
		now = now.Add(2 * time.Second)
		broken := poison.Request{Digest: uint64(i), Parts: []uint64{100, 666}}
		counter.ConnectionBroke(now, broken, target, true)
		crashes, survivals := counter.TargetCrashed(now, target)
		peer.Merge(now, crashes, survivals)
		sound := poison.Request{Digest: uint64(10 + i), Parts: []uint64{100}}
		survivals = counter.Answered(now.Add(time.Second), now.Add(time.Millisecond), sound)
		peer.Merge(now.Add(time.Second), nil, survivals)
	}
	now = now.Add(time.Second)
	feature, refused := peer.Refused(now, poison.Request{Digest: 2, Parts: []uint64{100, 666}})
	fmt.Println(feature, refused)
	_, refused = peer.Refused(now, poison.Request{Digest: 12, Parts: []uint64{100}})
	fmt.Println(refused)
	// Output:
	// 666 true
	// false
}
