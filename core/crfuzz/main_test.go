package crfuzz

import (
	"flag"
	"testing"
)

func TestSetDefault(t *testing.T) {
	tests := []struct {
		name        string
		environment string
		args        []string
		want        string
	}{
		{"not given", "", nil, Seed},
		{"given", "", []string{"-rapid.seed=7"}, "7"},
		{"random seed", "", []string{"-rapid.seed=0"}, "0"},
		{"environment", "9", nil, "0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Setenv("RAPID_SEED", tt.environment)
			flags := flag.NewFlagSet("test", flag.PanicOnError)
			flags.Uint64(seedFlag, 0, "")
			flags.Parse(tt.args)
			setDefault(flags, seedFlag, Seed)
			if got := flags.Lookup(seedFlag).Value.String(); got != tt.want {
				t.Errorf("seed = %s, want %s", got, tt.want)
			}
		})
	}
}
