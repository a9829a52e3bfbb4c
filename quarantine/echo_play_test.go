package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/quarantine"
)

// Guards against answers that nodes tell each other on and on, as each hears the answer later than the one before.
func TestPlayedAnswerIsToldOnce(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ zones, nodes int }{{2, 1}, {3, 3}, {4, 75}} {
		t.Run(fmt.Sprintf("%d zones of %d", size.zones, size.nodes), func(t *testing.T) {
			t.Parallel()
			p := newPlay(1, size.zones, size.nodes)
			n := p.zones[0][0]
			n.table.RecordEnd(quarantine.Suspect{
				Process: quarantine.Process{Endpoint: "e", StartedMillis: 1}, Request: "r", Service: service, Parts: []string{"shared"}, At: p.now,
			})
			p.tell(n)
			p.run(time.Second, func() {})
			n.table.RecordProven(p.now, service, []string{"shared"})
			p.tell(n)
			p.run(time.Second, func() {})
			told := p.told
			p.run(time.Second, func() {})
			require.Zero(t, p.told-told, "messages in the second second after the answer; %d before", told)
		})
	}
}
