package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["late-beat"] = lateBeat }

func engineService(name string) map[string]any {
	service := plainService(name)
	service["connection_limit"] = 464
	service["engine"] = map[string]any{
		"slots": 26, "kv_cache_tokens": 2470000, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0,
		"pairs_per_m": 0.309, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 5.5, "loads_at_once": 8, "usual": map[string]any{"prompt": 1115, "answer": 152},
		"retains": 1, "far_x": 2.5, "formation_ms": 300.0,
		"models": []any{map[string]any{"name": "m0", "size": 3, "share": 1.0, "pace": 1.0, "load_s": 1.0, "warm_s": 0.2}},
	}
	return service
}

const (
	// lostBeat is the periodic write that isn't answered, and lateBy how much later the store does it: 1 to 6 s.
	lostBeat = 2
	lateBy   = 4850 * time.Millisecond
)

// lateBeat adds workers. Some writes of their entries get no answer from the store, and are done some seconds later, when the workers serve in
// groups that were formed meanwhile.
func lateBeat(r *Rig) (bool, error) {
	stream := route("r-advice", "/advice/", "streaming", "ketiabi", 2)
	stream["resumable"], stream["sticky"], stream["gap_target_ms"], stream["timeout_ms"] = true, true, 250, 8000
	r.Store.Put("op", "config", config(7, []any{stream}, []any{engineService("ketiabi")}))
	fleet := &Engines{rig: r, byID: map[string]*Engine{}}
	defer fleet.End()
	for i := range 6 {
		if _, err := fleet.Start("i-old"+strconv.Itoa(i), "ketiabi", "tallinn", "d0", nil); err != nil {
			return false, err
		}
	}
	if err := r.StartNodes("tallinn", "tartu", "parnu"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the first groups are open
	end := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	for c := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				default:
				}
				result := advise(r.Record, r.Node(c), fmt.Sprintf("7c41d07b%02d%06d", c, i))
				mu.Lock()
				results[result]++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	const rounds = 5
	for round := range rounds {
		for i := range 3 {
			onBeat := func(beat int) time.Duration {
				if r.Trouble && beat == lostBeat {
					return lateBy
				}
				return 0
			}
			if _, err := fleet.Start(fmt.Sprintf("i-new%d%d", round, i), "ketiabi", "tallinn", "d0", onBeat); err != nil {
				return false, err
			}
		}
		time.Sleep(12 * time.Second)
	}
	close(end)
	wait.Wait()
	r.Record.Line("requests by what their clients got: %v", results)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if results["whole"] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return len(fleet.Two) > 0, nil
}

// advise sends a streaming request and returns what came of it.
func advise(record *Record, node *Node, id string) string {
	const events = 20
	request, err := http.NewRequest(http.MethodPost, "http://"+node.Front+"/advice/2f", strings.NewReader("which chain fits?"))
	if err != nil {
		return err.Error()
	}
	request.Host = host
	for name, value := range map[string]string{
		"Request-Id": id, "Request-Deadline": "8000", "Authorization": "Bearer " + key, "Model": "m0", "Token-Counts": "100," + strconv.Itoa(events),
		"Prompt-Prefix": "5c1e07a2:40," + id[4:] + ":60",
	} {
		request.Header.Set(name, value)
	}
	record.Line("client sends %s to %s", id, node.Name)
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		record.Line("client got no answer to %s: %v", id, err)
		return "no answer"
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		record.Line("client got %d for %s: %s", response.StatusCode, id, strings.TrimSpace(string(data)))
		time.Sleep(200 * time.Millisecond)
		return strconv.Itoa(response.StatusCode)
	}
	if got := strings.Count(string(data), "data: "); err != nil || got != events {
		record.Line("client got %d of %d events of %s (err %v)", got, events, id, err)
		return "cut"
	}
	record.Line("client got all events of %s", id)
	return "whole"
}
