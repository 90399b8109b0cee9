package process

import (
	"fmt"
	"os"

	"glenport/internal/config"
)

// WriteSchedulerSettings writes the settings file of a scheduler and validates it as the scheduler does.
func WriteSchedulerSettings(path string, settings *config.Scheduler) error {
	if err := writeSettings(path, settings.Encode); err != nil {
		return err
	}
	_, err := config.LoadScheduler(path)
	return err
}

// writeControllerSettings writes and validates the settings file of a controller, which refers to schedulerFile.
func writeControllerSettings(path string, settings *config.Controller, schedulerFile string) error {
	encode := func() ([]byte, error) { return settings.Encode(schedulerFile) }
	if err := writeSettings(path, encode); err != nil {
		return err
	}
	_, err := config.LoadController(path)
	return err
}

func writeSettings(path string, encode func() ([]byte, error)) error {
	text, err := encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}
