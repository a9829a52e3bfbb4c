package lend_test

import (
	"math/rand/v2"
	"strconv"
	"time"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/lend"
	"redwinghall/standin/passes"
)

// Times of the played zones: the objectives for the first event and for pauses, the way
// between two zones, and how often zones share their loads and ask for room.
const (
	objective     = 300 * time.Millisecond
	longestPause  = 200 * time.Millisecond
	zoneHop       = 2 * time.Millisecond
	shareInterval = 250 * time.Millisecond
	askEvery      = 100 * time.Millisecond
	playStep      = time.Millisecond
)

// evenLoad is what the groups of a zone serve with some reserve, in streams per second.
const (
	evenLoad      = 160
	groupsPerZone = 20
)

var (
	start = time.Unix(1000, 0)
	model = lend.Model{Service: "llm", Name: "small"}
)

func engine() *fleet.Engine {
	return &fleet.Engine{
		Slots: 13, Step: 6450 * time.Microsecond, PerSequence: 97 * time.Microsecond, PerThousandContext: 3 * time.Microsecond,
		ReadPerSecond: 56100, PerMillionPairs: 309 * time.Microsecond, Chunk: 2048, Stride: 10, MeanPromptTokens: 854, MeanAnswerTokens: 192,
		Models: []fleet.Model{{Name: "small", Size: 4, Share: 1, TimeFactor: 0.6}},
	}
}

// way is how streams leave their zones in a play.
type way int

const (
	nobodyLeaves way = iota
	eachAsks         // each stream asks the zone that looks emptiest
	zonesLend
)

// scenario is a load on three zones, in streams per second by zone and time.
type scenario struct {
	way    way
	load   func(zone int, at time.Duration) float64
	length time.Duration
	out    func(zone int, at time.Duration) bool // operators took the zone out; nil if never
	// slowShare of zone 0's groups are slowdown times slower.
	slowShare, slowdown float64
}

// playedZone is one zone: its dispatcher's tracker and book, and what its callers got.
type playedZone struct {
	name                                           string
	tracker                                        *balance.Tracker
	book                                           *lend.Book
	asked, inTime, late, refused                   int
	sent, received, twice, tickets, unlent, onLoan int
	bytesAsked, bytesSent                          int
	asks                                           map[string]int // messages by zone asked
}

// play plays a scenario in virtual time, without a network.
type play struct {
	scenario
	now    time.Time
	random *rand.Rand
	zones  []*playedZone
	heads  []*fleet.Endpoint
	groups map[string]*passes.Group
}

const zonesPlayed = 3

func (s scenario) run(seed uint64) *play {
	p := &play{scenario: s, now: start, random: rand.New(rand.NewPCG(seed, 11)), groups: map[string]*passes.Group{}}
	for z := range zonesPlayed {
		p.addZone(z)
	}
	for at := time.Duration(0); at < s.length+5*time.Second; at += playStep {
		p.now = start.Add(at)
		p.endPasses()
		if at < s.length {
			for z := range p.zones {
				p.arrive(z, at)
			}
		}
		if at%shareInterval == 0 {
			p.share()
		}
		if at%askEvery == 0 && s.way == zonesLend {
			p.ask()
		}
	}
	return p
}

func (p *play) addZone(z int) {
	zone := &playedZone{name: "z" + strconv.Itoa(z), tracker: balance.NewTracker(), asks: map[string]int{}}
	for i := range groupsPerZone {
		id := zone.name + "-" + strconv.Itoa(i)
		p.heads = append(p.heads, &fleet.Endpoint{
			ID: id, Service: model.Service, Address: id + ":80", Zone: zone.name, State: fleet.EndpointReady, Models: []string{model.Name}, SeenAt: start,
			Member: fleet.Membership{Group: "g-" + id, Epoch: 1, State: fleet.Open},
		})
		m := engine().Models[0]
		if z == 0 && float64(i) < p.slowShare*groupsPerZone {
			m.TimeFactor *= p.slowdown
		}
		p.groups[id] = passes.NewGroup(engine(), m)
	}
	zone.book = lend.NewBook(lend.Options{Zone: zone.name, Room: func(now time.Time, of string, _ lend.Model, objective time.Duration) lend.Room {
		request := p.request(zone.name, 854)
		request.Objective = objective
		if of != zone.name {
			request.Nodes = 2
		}
		r := zone.tracker.RoomOfZone(now, p.heads, p.zonesOut(), of, request)
		return lend.Room{Free: r.Free, PerSecond: r.PerSecond, FirstEvent: r.FirstEvent, InProgress: r.InProgress, UsualRate: r.UsualRate}
	}})
	p.zones = append(p.zones, zone)
}

func (p *play) request(zone string, prompt int) balance.Request {
	return balance.Request{
		Service: fleet.Service{Name: model.Service, Engine: engine()}, Model: engine().Models[0], Zone: zone, Prompt: prompt,
		Objective: objective, Nodes: 60, ZoneNodes: 20, Node: zone, IsDispatcher: true,
	}
}

func (p *play) zonesOut() map[string]bool {
	out := map[string]bool{}
	for z, zone := range p.zones {
		if p.out != nil && p.out(z, p.now.Sub(start)) {
			out[zone.name] = true
		}
	}
	return out
}

func (p *play) endPasses() {
	for _, g := range p.groups {
		for {
			end, busy := g.Next()
			if !busy || end.After(p.now) {
				break
			}
			g.EndPass()
		}
	}
}

// share gives each zone the loads of the others.
func (p *play) share() {
	for _, zone := range p.zones {
		others := map[string]balance.Load{}
		for _, other := range p.zones {
			if other == zone {
				continue
			}
			for id, load := range other.tracker.OwnLoads(p.now) {
				others[id] = others[id].With(load)
			}
		}
		zone.tracker.SetOwnZoneLoads(p.now, nil)
		zone.tracker.SetOtherZoneLoads(p.now, others)
	}
}

func (p *play) ask() {
	for _, zone := range p.zones {
		var others []lend.Other
		for _, other := range p.zones {
			if other != zone {
				others = append(others, lend.Other{Name: other.name, Lends: true})
			}
		}
		for _, ask := range zone.book.Ask(p.now, others) {
			zone.asks[ask.Zone]++
			var loans []redwinghall.RoomLoan
			for _, wish := range ask.Wishes {
				if loan := p.named(ask.Zone).book.Lend(p.now, zone.name, wish); loan.Streams > 0 {
					loans = append(loans, loan)
				}
			}
			zone.book.RecordAnswer(p.now.Add(-2*zoneHop), p.now, ask, loans, nil)
		}
	}
}

func (p *play) named(name string) *playedZone {
	for _, zone := range p.zones {
		if zone.name == name {
			return zone
		}
	}
	return nil
}

func (p *play) arrive(z int, at time.Duration) {
	chance := p.load(z, at) * playStep.Seconds()
	for p.random.Float64() < chance {
		p.place(p.zones[z], int(min(2340, p.random.ExpFloat64()*640+60)), int(min(540, p.random.ExpFloat64()*200+10)))
		chance-- // more than one arrives in a step only if more are due
	}
}

// place places one stream in its own zone, or in another one.
func (p *play) place(zone *playedZone, prompt, answer int) {
	zone.asked++
	zone.bytesAsked += lend.Stream{Prompt: prompt, Answer: answer}.Bytes()
	request := p.request(zone.name, prompt)
	zone.tickets++
	choice, refused := zone.tracker.Reserve(p.now, p.heads, p.zonesOut(), request, balance.Requester{Node: zone.name, Ticket: uint64(zone.tickets)})
	stream := lend.Stream{Model: model, Objective: objective, Prompt: prompt, Answer: answer}
	zone.book.Record(p.now, stream, refused == nil)
	if refused == nil {
		zone.tracker.ReleaseReservations(zone.name, uint64(zone.tickets)+1)
		p.send(zone, choice, prompt, answer, 0)
		return
	}
	stream.Here = refused.Predicted
	away, onLoan := p.leave(zone, request, stream)
	if away == "" {
		zone.unlent++
		zone.refused++
		return
	}
	p.placeAway(zone, p.named(away), onLoan, prompt, answer)
}

func (p *play) leave(zone *playedZone, request balance.Request, s lend.Stream) (away string, onLoan bool) {
	emptiest := func() string { return zone.tracker.AlternativeZone(p.now, p.heads, p.zonesOut(), request) }
	switch p.way {
	case nobodyLeaves:
		return "", false
	case eachAsks:
		return emptiest(), false
	}
	away, exit := zone.book.Leave(p.now, s, func(name string) bool { return !p.zonesOut()[name] }, emptiest)
	return away, exit == lend.OnLoan
}

// placeAway asks another zone for a group. A zone never passes the stream on.
func (p *play) placeAway(from, to *playedZone, onLoan bool, prompt, answer int) {
	lent := onLoan && to.book.Spend(p.now, from.name, model, 0)
	if p.way == zonesLend && !lent && !to.book.AcceptsWithoutLoan(p.now, from.name, model, objective) {
		from.refused++
		return
	}
	choice, refused := to.tracker.Reserve(p.now, p.heads, p.zonesOut(), p.request(to.name, prompt), balance.Requester{Node: from.name})
	if refused != nil {
		from.refused++
		return
	}
	if choice.Endpoint.Zone != to.name {
		from.twice++
	}
	to.book.RecordReceived(p.now, model)
	from.sent++
	if lent {
		from.onLoan++
	}
	to.received++
	from.bytesSent += lend.Stream{Prompt: prompt, Answer: answer}.Bytes()
	p.send(from, choice, prompt, answer, 2*zoneHop)
}

// send sends a stream to the chosen group; hop is the time that its border takes.
func (p *play) send(zone *playedZone, choice balance.Choice, prompt, answer int, hop time.Duration) {
	accepted := zone.tracker.AcceptChoice(p.now, choice.Endpoint, p.request(zone.name, prompt), choice.Predicted)
	arrived := p.now
	first, last, slowest := time.Time{}, p.now, time.Duration(0)
	pause := func(running int) time.Duration {
		return balance.NewPace(engine(), engine().Models[0], 1).Pass(running, 0)
	}
	p.groups[choice.Endpoint.ID].Send(p.now, &passes.Request{PromptTokens: prompt, AnswerTokens: answer, OnEvent: func(at time.Time, end bool) {
		if first.IsZero() {
			first = at
		} else {
			slowest = max(slowest, at.Sub(last))
		}
		last = at
		accepted.Attempt.RecordEvent(at, pause)
		if !end {
			return
		}
		accepted.Attempt.Done(at, true)
		if first.Sub(arrived)+hop <= objective && slowest <= longestPause {
			zone.inTime++
		} else {
			zone.late++
		}
	}})
}

// sum adds a figure of all zones.
func (p *play) sum(of func(*playedZone) int) int {
	sum := 0
	for _, zone := range p.zones {
		sum += of(zone)
	}
	return sum
}

func (p *play) shareOf(of func(*playedZone) int) float64 {
	return float64(p.sum(of)) / float64(p.sum(func(z *playedZone) int { return z.asked }))
}
