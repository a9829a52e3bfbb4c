package redwinghall

import "time"

// RoomRequest describes a request where the groups of a model, or the endpoints of a
// plain service, have too little room for all requests.
type RoomRequest struct {
	Service string
	Model   string // "" for a plain service
	Account string // name of the client account, "" if the request has none
	// Urgency orders requests; 0 is the most urgent.
	Urgency   int
	Objective time.Duration
	// Work is the time for which the request keeps one group busy: the reading of its
	// prompt, and its part of the time in which the group generates its answer.
	Work time.Duration
	// Groups is the number of groups, or of endpoints of a plain service, that could
	// serve the request.
	Groups int
	// Deciders is how many times the requests that this node decides on all nodes decide on
	// that give out the same room; 1 if it decides for all.
	Deciders float64
}

// AdmissionLimit is the condition on which a request is accepted now.
type AdmissionLimit struct {
	// Predicted is the longest predicted time to the first event, or to the answer of a
	// plain service, with which the request is accepted.
	Predicted time.Duration
	// Ahead is the number of requests that are expected and go before this one. The groups
	// have to have room for them, within Predicted, beside this one.
	Ahead float64
	// Rivals is the number of requests that other nodes accept for the same room, and that this
	// node hasn't heard of yet.
	Rivals float64
	// Short says that the room was too little lately.
	Short bool
	// Reason names why the request leaves room for others, "" if it doesn't.
	Reason string
	// Asked, Given and Due are the work of each second that the client account asked for,
	// got and is due, if its share is the reason.
	Asked, Given, Due time.Duration
}

// Reasons for an AdmissionLimit.
const (
	// LimitUrgency means that more urgent requests are expected.
	LimitUrgency = "urgency"
	// LimitAccount means that the client account has more than its share.
	LimitAccount = "account_over_share"
	// LimitSize means that only smaller requests would get the room.
	LimitSize = "room_for_large"
)

// Admission decides who gets the room of a zone while there is too little of it.
type Admission interface {
	// Limit returns the condition on which a request is accepted now.
	Limit(now time.Time, r RoomRequest) AdmissionLimit
	// Record records that a request was made, and whether it was accepted.
	Record(now time.Time, r RoomRequest, accepted bool)
}

// AccountUse is what the requests of a client account asked of a model's groups, and
// what they got, at one urgency: the work of each second.
type AccountUse struct {
	Service string
	Model   string
	Account string
	Urgency int
	Asked   time.Duration
	Given   time.Duration
}

// RoomWish is what a zone wants to borrow from another one.
type RoomWish struct {
	Service   string
	Model     string
	Urgency   int
	Objective time.Duration
	// Streams is the number of streams that the zone expects to send during the loan.
	Streams int
	// Gain is how much sooner a caller of the borrowing zone is expected to get its first
	// event with the loan.
	Gain time.Duration
}

// RoomLoan is room that a zone keeps for another one for a short time.
type RoomLoan struct {
	Service string
	Model   string
	Urgency int
	Streams int // number of streams that may be sent
	// Lasts is the time from the grant until the rest of the loan returns to the lender.
	Lasts time.Duration
}

// RoomLender decides how much of its zone's room it lends.
type RoomLender interface {
	// Lend returns the loan that a zone gets; its Streams is 0 if it gets none.
	Lend(now time.Time, borrower string, wish RoomWish) RoomLoan
}
