package httpanswer_test

import (
	"net/http"
	"net/textproto"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/httpanswer"
)

func TestCheckTellsAnswersFromOtherBytes(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		status, version int
		field           string
		want            httpanswer.Kind
	}{
		"an answer":                 {200, 1, "X-Name", ""},
		"a failure":                 {599, 1, "X-Name", ""},
		"no status":                 {0, 1, "X-Name", httpanswer.BadStatus},
		"a low status":              {99, 1, "X-Name", httpanswer.BadStatus},
		"another protocol":          {101, 1, "X-Name", httpanswer.BadStatus},
		"a high status":             {600, 1, "X-Name", httpanswer.BadStatus},
		"a blank in a name":         {200, 1, "X Name", httpanswer.BadField},
		"a blank behind a name":     {200, 1, "Content-Length ", httpanswer.BadField},
		"a control byte in a name":  {200, 1, "X\x01Name", httpanswer.BadField},
		"a name without a byte":     {200, 1, "", httpanswer.BadField},
		"another version of HTTP":   {200, 2, "X-Name", httpanswer.BadVersion},
		"an earlier version":        {200, 0, "X-Name", httpanswer.BadVersion},
		"a byte that isn't English": {200, 1, "X-Näme", httpanswer.BadField},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			err := httpanswer.Check(&http.Response{StatusCode: c.status, ProtoMajor: c.version, Header: http.Header{c.field: {"x"}}})
			require.Equal(t, c.want, redwinghall.KindOf[httpanswer.Kind](err), "%v", err)
		})
	}
}

// A server may send informational responses without end.
func TestInformationalResponsesAreFewAndHaveNames(t *testing.T) {
	t.Parallel()
	var many, bad httpanswer.Informational
	for range 5 {
		require.NoError(t, many.Add(textproto.MIMEHeader{"Link": {"x"}}))
	}
	require.Equal(t, httpanswer.TooMany, redwinghall.KindOf[httpanswer.Kind](many.Add(textproto.MIMEHeader{"Link": {"x"}})))
	require.Equal(t, httpanswer.BadField, redwinghall.KindOf[httpanswer.Kind](bad.Add(textproto.MIMEHeader{"Bad Name": {"x"}})))
	require.Error(t, bad.Add(textproto.MIMEHeader{"Link": {"x"}}), "the answer that follows is none")
}
