package configcheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode"

	"redwinghall/fleet"
)

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of a change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Subject string     `json:"subject"`         // such as "route checkout"
	Field   string     `json:"field,omitempty"` // of a changed entry
	From    string     `json:"from,omitempty"`
	To      string     `json:"to,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	if c.Kind != Changed {
		return fmt.Sprintf("%s: %s", c.Kind, c.Subject)
	}
	return fmt.Sprintf("%s: %s: %s: %s -> %s", c.Kind, c.Subject, c.Field, c.From, c.To)
}

// Diff returns what differs between the configuration in force and the next one. Entries
// are matched by name. API keys are only counted, never shown.
func Diff(inForce, next *fleet.Configuration) []Change {
	changes := diffEntries("route", routesByName(inForce.Routes), routesByName(next.Routes), diffFields[fleet.Route])
	changes = append(changes, diffEntries("service", inForce.Services, next.Services, diffService)...)
	changes = append(changes, diffEntries("client account", accountsByName(inForce.Accounts), accountsByName(next.Accounts), diffAccount)...)
	return append(changes, diffFields("limits", inForce.Limits, next.Limits)...)
}

func diffEntries[T any](noun string, before, after map[string]T, diff func(subject string, before, after T) []Change) []Change {
	var changes []Change
	for _, name := range unionOfNames(before, after) {
		subject := noun + " " + name
		old, was := before[name]
		now, is := after[name]
		switch {
		case !was:
			changes = append(changes, Change{Kind: Added, Subject: subject})
		case !is:
			changes = append(changes, Change{Kind: Removed, Subject: subject})
		default:
			changes = append(changes, diff(subject, old, now)...)
		}
	}
	return changes
}

func unionOfNames[T any](a, b map[string]T) []string {
	var names []string
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func diffService(subject string, before, after fleet.Service) []Change {
	was, is := before.Engine, after.Engine
	before.Engine, after.Engine = nil, nil
	changes := diffFields(subject, before, after)
	switch {
	case was == nil && is == nil:
	case was == nil:
		changes = append(changes, Change{Kind: Added, Subject: subject + ": engine"})
	case is == nil:
		changes = append(changes, Change{Kind: Removed, Subject: subject + ": engine"})
	default:
		changes = append(changes, diffEngine(subject, *was, *is)...)
	}
	return changes
}

func diffEngine(subject string, before, after fleet.Engine) []Change {
	models := diffEntries(subject+": model", modelsByName(before.Models), modelsByName(after.Models), diffFields[fleet.Model])
	before.Models, after.Models = nil, nil
	return append(diffFields(subject+": engine", before, after), models...)
}

func diffAccount(subject string, before, after fleet.Account) []Change {
	added, removed := missingKeys(after.Keys, before.Keys), missingKeys(before.Keys, after.Keys)
	was := len(before.Keys)
	before.Keys, after.Keys = nil, nil
	changes := diffFields(subject, before, after)
	if added+removed > 0 {
		changes = append(changes, Change{
			Kind: Changed, Subject: subject, Field: "api keys", From: fmt.Sprintf("%d", was),
			To: fmt.Sprintf("%d (%d added, %d removed)", was+added-removed, added, removed),
		})
	}
	return changes
}

// missingKeys counts the keys of one list that another one lacks.
func missingKeys(keys, from []string) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(from, key) {
			count++
		}
	}
	return count
}

// diffFields compares two structs of the same type field by field.
func diffFields[T any](subject string, before, after T) []Change {
	var changes []Change
	old, now := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		if reflect.DeepEqual(old.Field(i).Interface(), now.Field(i).Interface()) {
			continue
		}
		changes = append(changes, Change{
			Kind: Changed, Subject: subject, Field: fieldName(old.Type().Field(i).Name),
			From: fmt.Sprint(old.Field(i).Interface()), To: fmt.Sprint(now.Field(i).Interface()),
		})
	}
	return changes
}

// fieldName returns the name of a struct's field in words: MaxAttempts as "max attempts".
func fieldName(name string) string {
	var words strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			words.WriteByte(' ')
		}
		words.WriteRune(unicode.ToLower(r))
	}
	return words.String()
}

func routesByName(routes []fleet.Route) map[string]fleet.Route {
	byName := make(map[string]fleet.Route, len(routes))
	for _, r := range routes {
		byName[r.Name] = r
	}
	return byName
}

func accountsByName(accounts []fleet.Account) map[string]fleet.Account {
	byName := make(map[string]fleet.Account, len(accounts))
	for _, a := range accounts {
		byName[a.Name] = a
	}
	return byName
}

func modelsByName(models []fleet.Model) map[string]fleet.Model {
	byName := make(map[string]fleet.Model, len(models))
	for _, m := range models {
		byName[m.Name] = m
	}
	return byName
}
