package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"redwinghall"
	"redwinghall/peer/rpc"
)

func toEntries(entries []Entry) []*rpc.Entry {
	out := make([]*rpc.Entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, &rpc.Entry{Key: e.Key, Number: e.Number, Value: e.Value})
	}
	return out
}

func fromEntries(entries []*rpc.Entry) []Entry {
	out := make([]Entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, Entry{Key: e.Key, Number: e.Number, Value: e.Value})
	}
	return out
}

func toMarks(marks []Mark) []*rpc.Mark {
	out := make([]*rpc.Mark, 0, len(marks))
	for _, m := range marks {
		out = append(out, &rpc.Mark{Key: m.Key, Number: m.Number})
	}
	return out
}

func fromMarks(marks []*rpc.Mark) []Mark {
	out := make([]Mark, 0, len(marks))
	for _, m := range marks {
		out = append(out, Mark{Key: m.Key, Number: m.Number})
	}
	return out
}

// neverSeen is the age of a group whose members were not all seen.
const neverSeen = 1 << 30

// ageOf returns how long ago t was, for a clock that need not agree.
func ageOf(now, t time.Time) uint32 {
	return uint32(min(max(now.Sub(t).Milliseconds(), 0), neverSeen))
}

// groupHash names a group on the wire in 4 bytes.
func groupHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func toHealth(now time.Time, health []redwinghall.GroupHealth) []*rpc.Health {
	out := make([]*rpc.Health, 0, len(health))
	for _, h := range health {
		encoded := &rpc.Health{
			Group: groupHash(h.Group), Generation: h.Generation, AgeMs: neverSeen, Broken: h.Broken,
			Ready: h.Ready, Running: uint32(h.Running), Completed: h.Completed,
		}
		if !h.SeenAt.IsZero() {
			encoded.AgeMs = ageOf(now, h.SeenAt)
		}
		if !h.LostAt.IsZero() {
			encoded.LostAgeMs = max(1, ageOf(now, h.LostAt))
		}
		out = append(out, encoded)
	}
	return out
}

// fromHealth turns ages back into times of this process's clock: the clocks
// of two VMs need not agree.
func fromHealth(now time.Time, group string, h *rpc.Health) redwinghall.GroupHealth {
	out := redwinghall.GroupHealth{
		Group: group, Generation: h.Generation, Broken: h.Broken,
		Ready: h.Ready, Running: int(h.Running), Completed: h.Completed,
	}
	if h.AgeMs < neverSeen {
		out.SeenAt = now.Add(-time.Duration(h.AgeMs) * time.Millisecond)
	}
	if h.LostAgeMs > 0 {
		out.LostAt = now.Add(-time.Duration(h.LostAgeMs) * time.Millisecond)
	}
	return out
}
