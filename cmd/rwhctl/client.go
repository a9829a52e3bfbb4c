package main

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"redwinghall"
	"redwinghall/operator"
)

const tokenVariable = "RWH_OPERATOR_TOKEN"

// client returns a client for the controller given by --controller.
func (a *app) client() (*operator.Client, error) {
	if a.options.Controller == "" {
		return nil, &flags.Error{Type: flags.ErrRequired, Message: "--controller is missing"}
	}
	token := os.Getenv(tokenVariable)
	if a.options.TokenFile != "" {
		data, err := os.ReadFile(a.options.TokenFile)
		if err != nil {
			return nil, err
		}
		token = string(data)
	}
	return operator.NewClient(a.options.Controller, strings.TrimSpace(token)), nil
}

// result writes a result as JSON.
func (a *app) result(v any) error {
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// fail prints a refusal as JSON, including the next step for the operator.
func (a *app) fail(err error) error {
	var refused *operator.RefusedError
	if !errors.As(err, &refused) {
		refused = &operator.RefusedError{Refusal: localRefusal(err)}
	}
	encoder := json.NewEncoder(a.err)
	encoder.SetIndent("", "  ")
	return errors.Join(errRefused, encoder.Encode(refused.Refusal))
}

// localRefusal builds a refusal for an error that contains none from a controller.
func localRefusal(err error) operator.Refusal {
	code := redwinghall.KindOf[redwinghall.Code](err)
	info, ok := code.Info()
	if !ok {
		info, _ = redwinghall.CodeResultUnknown.Info()
	}
	return operator.Refusal{
		Code: info.Code, Message: info.Message, NextStep: info.NextStep,
		RetryAfter: redwinghall.Duration(info.RetryAfter),
		Faults:     redwinghall.Faults{{Path: "$", Message: err.Error()}},
	}
}

// submission generates a submit ID if none was given and prints it before the
// request is sent, so that a command whose response is lost can be retried with
// the same ID.
func (a *app) submission(id string, replaces uint64) operator.Submission {
	if id == "" {
		id = rand.Text()
		_, _ = fmt.Fprintln(a.err, "submit_id:", id)
	}
	return operator.Submission{SubmitID: id, Replaces: replaces}
}
