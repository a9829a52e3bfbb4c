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

// maxAge is the largest age in milliseconds. It is also sent for a group whose
// members have not all been seen.
const maxAge = 1 << 30

// ageOf returns the age of t in milliseconds. Ages are sent in place of times
// because the clocks of two VMs may differ.
func ageOf(now, t time.Time) uint32 {
	return uint32(min(max(now.Sub(t).Milliseconds(), 0), maxAge))
}

// groupHash returns the 4-byte hash that identifies a group on the wire.
func groupHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func toHealth(now time.Time, health []redwinghall.GroupHealth) []*rpc.Health {
	out := make([]*rpc.Health, 0, len(health))
	for _, h := range health {
		encoded := &rpc.Health{
			Group: groupHash(h.Group), Generation: h.Generation, AgeMs: maxAge, Broken: h.Broken,
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

// fromHealth converts ages back to times by this process's clock, because the
// clocks of two VMs may differ.
func fromHealth(now time.Time, group string, h *rpc.Health) redwinghall.GroupHealth {
	out := redwinghall.GroupHealth{
		Group: group, Generation: h.Generation, Broken: h.Broken,
		Ready: h.Ready, Running: int(h.Running), Completed: h.Completed,
	}
	if h.AgeMs < maxAge {
		out.SeenAt = now.Add(-time.Duration(h.AgeMs) * time.Millisecond)
	}
	if h.LostAgeMs > 0 {
		out.LostAt = now.Add(-time.Duration(h.LostAgeMs) * time.Millisecond)
	}
	return out
}
