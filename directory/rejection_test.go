package directory_test

import (
	"bytes"
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"redwinghall/fleet"
)

// captureLog returns what a test logs.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	var out bytes.Buffer
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	require.NoError(t, flags.Set("logtostderr", "false"))
	klog.SetOutput(&out)
	t.Cleanup(func() {
		klog.Flush()
		require.NoError(t, flags.Set("logtostderr", "true"))
	})
	return &out
}

func configRow(value string, version int64) fleet.Row {
	return fleet.Row{Table: "op", Key: "config", Value: []byte(value), Version: version}
}

const goodConfig = `{"version":5,"routes":[{"name":"r","host":"a.example","prefix":"/x/","service":"s"}],"services":[{"name":"s"}]}`

// All nodes read the same row: one that they can't use must leave them with the last good
// configuration, and each says so once.
func TestUnusableConfigurationLeavesTheLastGoodOne(t *testing.T) {
	for name, value := range map[string]string{
		"null":           `null`,
		"empty":          `{}`,
		"no JSON":        `<html>`,
		"cut":            goodConfig[:40],
		"empty value":    ``,
		"number as text": `{"version":6,"routes":[{"name":7,"host":"a.example","prefix":"/x/"}]}`,
		"no routes":      `{"version":6,"routes":null,"services":[{"name":"s"}]}`,
		"older":          strings.Replace(goodConfig, "5", "4", 1),
		"no version":     strings.Replace(goodConfig, `"version":5,`, "", 1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				logged, store := captureLog(t), &fakeStore{}
				store.set(10, "", configRow(goodConfig, 3))
				cache, stop := follow(t, store)
				time.Sleep(time.Second)
				store.set(11, "", configRow(value, 11))
				time.Sleep(3 * time.Second)
				for range 3 { // lists contain the same row again
					store.set(11, fleet.StoreHistoryGone, configRow(value, 11), entry(t, "e", 11))
					time.Sleep(3 * time.Second)
				}
				_, ok := cache.View().Route("a.example", "/x/1")
				require.True(t, ok)
				require.Equal(t, int64(5), cache.View().Config().Version)
				store.set(12, "", configRow(strings.Replace(goodConfig, "5", "7", 1), 12))
				time.Sleep(3 * time.Second)
				require.Equal(t, int64(7), cache.View().Config().Version, "the next valid one comes into force")
				stop()
				klog.Flush()
				require.Equal(t, 1, strings.Count(logged.String(), `"view_rejected"`), logged.String())
			})
		})
	}
}

// A node that starts and finds a row without a configuration isn't ready: with an empty one
// it would answer all requests with 404.
func TestNodeThatStartsWithAnUnusableConfigurationHasNone(t *testing.T) {
	for _, value := range []string{`null`, `{}`, `<html>`, ``, `{"version":3}`} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{}
			store.set(10, "", configRow(value, 3))
			cache, stop := follow(t, store)
			defer stop()
			time.Sleep(3 * time.Second)
			require.Nil(t, cache.View().Config(), value)
			store.set(12, "", configRow(goodConfig, 12))
			time.Sleep(3 * time.Second)
			require.NotNil(t, cache.View().Config(), value)
		})
	}
}

// A configuration whose row was deleted stays in force, and the node says so.
func TestRemovedConfigurationStaysInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logged, store := captureLog(t), &fakeStore{}
		store.set(10, "", configRow(goodConfig, 3))
		cache, stop := follow(t, store)
		time.Sleep(time.Second)
		removed := configRow("", 11)
		removed.Removed = true
		store.set(11, "", removed)
		time.Sleep(3 * time.Second)
		require.NotNil(t, cache.View().Config())
		stop()
		klog.Flush()
		require.Equal(t, 1, strings.Count(logged.String(), `"view_rejected"`), logged.String())
	})
}

// The operators' last route was removed by an acknowledged version, and nodes went on with it for as long as they lived.
func TestConfigurationWithAnEmptyListOfRoutesComesIntoForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		store.set(10, "", configRow(goodConfig, 3))
		cache, stop := follow(t, store)
		defer stop()
		time.Sleep(time.Second)
		store.set(11, "", configRow(`{"version":6,"routes":[],"services":[{"name":"s"}]}`, 11))
		time.Sleep(3 * time.Second)
		require.Equal(t, int64(6), cache.View().Config().Version)
		_, ok := cache.View().Route("a.example", "/x/1")
		require.False(t, ok)
	})
}

// A route that lacks its prefix took every path of its host, also those that another route had had until then.
func TestRouteWithoutAPrefixTakesNoPath(t *testing.T) {
	for _, prefix := range []string{``, `"prefix":null,`, `"prefix":"",`, `"prefix":"x/",`} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{}
			store.set(10, "", configRow(`{"version":5,"routes":[{"name":"r",`+prefix+`"host":"a.example","service":"s"}],"services":[{"name":"s"}]}`, 3))
			cache, stop := follow(t, store)
			defer stop()
			time.Sleep(time.Second)
			require.Equal(t, int64(5), cache.View().Config().Version)
			_, ok := cache.View().Route("a.example", "/x/1")
			require.False(t, ok, prefix)
		})
	}
}

// A version that lacked its services came into force, and all requests were refused that the one before had served.
func TestConfigurationWhoseServicesAreMissingLeavesTheLastOne(t *testing.T) {
	for _, services := range []string{``, `,"services":null`, `,"services":[]`} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{}
			store.set(10, "", configRow(goodConfig, 3))
			cache, stop := follow(t, store)
			defer stop()
			time.Sleep(time.Second)
			store.set(11, "", configRow(`{"version":6,"routes":[{"name":"r","host":"a.example","prefix":"/x/","service":"s"}]`+services+`}`, 11))
			time.Sleep(3 * time.Second)
			require.Equal(t, int64(5), cache.View().Config().Version, services)
		})
	}
}
