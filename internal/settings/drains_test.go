package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestDeployedDrainSettingsAreValid checks that the file that operators enable drains with is
// accepted, with its limits.
func TestDeployedDrainSettingsAreValid(t *testing.T) {
	const path = "../../deploy/drains.hcl"
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	operator, err := ParseOperator(path, source)
	if err != nil || operator.Drains == nil || operator.Drains.Default == nil {
		t.Fatalf("%s: parsed %+v, %v; want a default drain budget", path, operator, err)
	}
	if l := operator.Drains.Default.Limits; *l.Tasks != 8 || *l.CPUs != 128 || *l.Share != 0.2 || *l.ReplicasUp != 1 {
		t.Errorf("%s: default limits %+v, want 8 tasks, 128 CPUs, a share of 0.2 and 1 replica up", path, l)
	}
}

// TestInvalidDrainSettingsAreRefused checks that the error of each invalid setting names file,
// line and reason.
func TestInvalidDrainSettingsAreRefused(t *testing.T) {
	for src, want := range map[string]string{
		"drains {\n  default {\n    tasks = -1\n  }\n}\n":                                    "x.hcl:3: drains: tasks: -1 is below 0",
		"drains {\n  default {\n    tasks = 0\n  }\n}\n":                                     "x.hcl:3: drains: tasks: 0: under it nothing could ever move",
		"drains {\n  default {\n    cpus = 0\n  }\n}\n":                                      "x.hcl:3: drains: cpus: 0: under it",
		"drains {\n  default {\n    share = 1.5\n  }\n}\n":                                   "x.hcl:3: drains: share: 1.5 is outside 0 to 1",
		"drains {\n  default {\n    share = 0\n  }\n}\n":                                     "x.hcl:3: drains: share: 0: under it",
		"drains {\n  default {\n    replicas_up = -2\n  }\n}\n":                              "x.hcl:3: drains: replicas_up: -2 is below 0",
		"drains {\n  machines_at_once = 0\n}\n":                                              "x.hcl:2: drains: machines_at_once: 0 is outside",
		"drains {\n  wait_s = -1\n}\n":                                                       "x.hcl:2: drains: wait_s: -1 is outside",
		"drains {\n  team \"t\" {\n    cpus = -3\n  }\n}\n":                                  "x.hcl:3: drains: cpus: team \"t\": -3 is below 0",
		"drains {\n  team \"t\" {}\n  team \"t\" {}\n}\n":                                    "drains: team \"t\": the team is named twice",
		"drains {\n  default {\n    tasks = 1\n  }\n  team \"t\" {\n    tasks = 0\n  }\n}\n": "x.hcl:6: drains: tasks: team \"t\": 0: under it",
		"drains {\n  default {\n    jobs = 1\n  }\n}\n":                                      "x.hcl:3",
		"drains {\n  default {\n    tasks = 1\n  }\n}\ndrains {\n}\n":                        "x.hcl:",
	} {
		if _, err := ParseOperator("x.hcl", []byte(src)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want it to contain %q", src, err, want)
		}
	}
}

// TestDrainBudgetOfUnknownTeamIsRefused checks that a budget for a team that is not in the
// platform's settings is refused when both files are loaded.
func TestDrainBudgetOfUnknownTeamIsRefused(t *testing.T) {
	dir := t.TempDir()
	platform, operator := filepath.Join(dir, "s.json"), filepath.Join(dir, "o.hcl")
	write := func(path, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(platform, validSettings)
	write(operator, "drains {\n  team \"nobody\" {\n    tasks = 1\n  }\n}\n")
	if _, err := Load(platform, operator); err == nil || !strings.Contains(err.Error(), "o.hcl:2: drains: team: there is no team \"nobody\"") {
		t.Errorf("drain budget of an unknown team: error %v, want one that names file, line and team", err)
	}
	write(operator, "drains {\n  team \"t\" {\n    tasks = 1\n  }\n}\n")
	if _, err := Load(platform, operator); err != nil {
		t.Errorf("drain budget of a known team: %v", err)
	}
}
