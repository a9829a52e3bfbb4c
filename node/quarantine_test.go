package node_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/node"
	"redwinghall/platform/platformtest"
	"redwinghall/quarantine"
)

// shownPart is a part as a node shows it to operators.
type shownPart struct {
	Service     string     `json:"service"`
	Part        string     `json:"part"`
	Quarantined bool       `json:"quarantined"`
	RetestAt    *time.Time `json:"retest_at"`
	Ends        []struct {
		Endpoint string `json:"endpoint"`
		Request  string `json:"request"`
	} `json:"ends"`
}

func (d *deployment) quarantineURL() string {
	return fmt.Sprintf("http://%s:%d%s", d.settings.IP, node.MetricsPort, node.QuarantinePath)
}

// suspected returns whether a node shows a part as suspected or quarantined.
func (d *deployment) suspected(t *testing.T, part string) bool {
	t.Helper()
	var parts []shownPart
	getJSON(t, d.quarantineURL(), &parts)
	return slices.ContainsFunc(parts, func(one shownPart) bool { return one.Part == part })
}

// quarantined returns whether a node shows a part as quarantined.
func (d *deployment) quarantined(t *testing.T, part string) bool {
	t.Helper()
	var parts []shownPart
	getJSON(t, d.quarantineURL(), &parts)
	for _, one := range parts {
		if one.Part == part && one.Quarantined {
			require.Equal(t, "llm", one.Service)
			require.NotNil(t, one.RetestAt)
			require.GreaterOrEqual(t, len(one.Ends), aimedEndsUnderPart)
			return true
		}
	}
	return false
}

// Operators see at each node which part is quarantined and by which ends, and release it at any one for all. A node
// that starts later knows it before it sends anything.
func TestOperatorsSeeAndReleaseAQuarantinedPart(t *testing.T) {
	t.Parallel()
	z := deployZonesOf(t, map[string]int{"a": 3, "b": 2}, crashEnginesPerZone, platformtest.EndpointConfig{Event: 10 * time.Millisecond, Events: answerEvents}, platformtest.EndpointConfig{})
	z.crashOn(platformtest.Crash{Part: crashingPart, After: 20 * time.Millisecond, Away: crashAway})
	for i := range 5 {
		z.nodes[i].sendParts(t.Context(), fmt.Sprint("bad", i), crashingRequestLimit, crashingPart)
	}
	for _, d := range z.nodes {
		require.Eventually(t, func() bool { return d.quarantined(t, crashingPart) }, 2*time.Second, 20*time.Millisecond)
	}
	before := len(platformtest.Crashes(z.engines()...).Arrivals)
	first := z.nodes[0]
	late := startNode(t, first.store, first.runCounter, "b-late", "b", []string{"a", "b"}, func(s *platformtest.NodeSettings) { s.Restarted = true })
	require.Eventually(t, late.ready, 5*time.Second, time.Millisecond)
	status, _ := late.sendParts(t.Context(), "bad-late", crashingRequestLimit, crashingPart)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Len(t, platformtest.Crashes(z.engines()...).Arrivals, before, "no request reached a worker")

	z.crashOn(platformtest.Crash{})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, z.nodes[4].quarantineURL()+"/llm/"+crashingPart, nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNoContent, response.StatusCode)
	for _, d := range append(z.nodes, late) {
		require.Eventually(t, func() bool { return !d.quarantined(t, crashingPart) }, 2*time.Second, 20*time.Millisecond)
		require.Eventually(t, func() bool {
			status, _ := d.sendParts(t.Context(), "mended"+d.settings.Node, crashingRequestLimit, crashingPart)
			return status == http.StatusOK
		}, 5*time.Second, 100*time.Millisecond, "a mended worker is used again")
	}
}

// The first node of a zone grants trials. Guards against ends of which it isn't told as it was slow for one other node.
func TestFirstNodeLearnsOfEndsAlthoughItWasSlow(t *testing.T) {
	t.Parallel()
	const ends, endPause = 6, 300 * time.Millisecond
	z := deployZones(t, map[string]int{"a": 4})
	isFirst := func(d *deployment) bool { return d.node.IsFirst() }
	first := z.nodes[slices.IndexFunc(z.nodes, isFirst)]
	other := z.nodes[slices.IndexFunc(z.nodes, func(d *deployment) bool { return !isFirst(d) })]
	var late []string
	for i := range ends {
		part := fmt.Sprint("part-", i)
		other.node.MissFirst()
		ended := time.Now()
		other.node.RecordEnd(quarantine.Suspect{
			Process: quarantine.Process{Endpoint: "engine-a-0", StartedMillis: int64(i + 1)}, Request: fmt.Sprint("bad-", i), Service: "llm",
			Parts: []string{part}, At: ended,
		})
		require.Eventually(t, func() bool { return first.suspected(t, part) }, 5*time.Second, 5*time.Millisecond)
		if took := time.Since(ended); took > quarantineTime {
			late = append(late, fmt.Sprintf("%s after %s", part, took.Round(time.Millisecond)))
		}
		time.Sleep(endPause)
	}
	require.Empty(t, late, "of %d ends", ends)
}
