package fleet

// Presence says whether the process that an endpoint's entry describes still runs.
type Presence string

// The values of Presence.
const (
	// PresenceUnknown: there was no answer that tells. The path to the endpoint may be broken.
	PresenceUnknown Presence = "unknown"
	// PresenceAnswered: a process with the endpoint's id answered, and nothing tells whether it is the one of the
	// entry or another one that started after it.
	PresenceAnswered Presence = "answered"
	// PresenceAlive: the process of the entry answered.
	PresenceAlive Presence = "alive"
	// PresenceGone: its address refuses connections, or another process answered there.
	PresenceGone Presence = "gone"
)

// IsKnown reports whether it is known if the process runs.
func (p Presence) IsKnown() bool { return p == PresenceAlive || p == PresenceGone }
