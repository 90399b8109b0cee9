package process

import (
	"maps"
	"os"

	"glenport/internal/config"

	"github.com/goccy/go-yaml"
)

// WriteSchedulerConfig writes a scheduler's settings file: the template with the sections of extra, and then with the
// keys of set; where a value of set is a map, only the keys that it has are changed.
func WriteSchedulerConfig(template []byte, path string, extra, set map[string]any) error {
	var settings map[string]any
	if err := yaml.Unmarshal(template, &settings); err != nil {
		return err
	}
	maps.Copy(settings, extra)
	for key, value := range set {
		changed, isSection := value.(map[string]any)
		if !isSection {
			settings[key] = value
			continue
		}
		if section, ok := settings[key].(map[string]any); ok {
			maps.Copy(section, changed)
		}
	}
	data, err := yaml.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return err
	}
	_, err = config.LoadScheduler(path) // reports what the scheduler itself would refuse
	return err
}
