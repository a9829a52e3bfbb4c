package redwinghall_test

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall"
)

var update = flag.Bool("update", false, "write the generated documentation pages")

func TestCodesPage(t *testing.T) {
	const page = "docs/CODES.md"
	want := redwinghall.CodesMarkdown()
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(want), 0o600))
	}
	got, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, want, string(got), "run 'make codes'")
}

func TestEveryCodeIsPlain(t *testing.T) {
	seen := map[redwinghall.Code]bool{}
	for _, info := range redwinghall.Codes() {
		t.Run(string(info.Code), func(t *testing.T) {
			require.False(t, seen[info.Code], "duplicate code")
			seen[info.Code] = true
			require.Regexp(t, `^[a-z_]+$`, info.Code)
			for _, sentence := range []string{info.Message, info.Cause, info.NextStep} {
				require.Regexp(t, `^[A-Z].*\.$`, sentence)
			}
			require.LessOrEqual(t, len(info.Message), 90)
			found, ok := info.Code.Info()
			require.True(t, ok)
			require.Equal(t, info, found)
			require.Contains(t, redwinghall.Explain(info), info.NextStep)
		})
	}
}
