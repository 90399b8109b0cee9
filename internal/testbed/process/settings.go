package process

import (
	"fmt"
	"os"

	"glenport/internal/config"
)

// WriteSchedulerSettings writes a scheduler's settings file and reports what the scheduler itself would refuse of it.
func WriteSchedulerSettings(path string, settings *config.Scheduler) error {
	text, err := settings.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("write the settings of scheduler %s: %w", settings.Name, err)
	}
	_, err = config.LoadScheduler(path)
	return err
}

// writeControllerSettings does so for a controller; schedulerFile is the scheduler's settings file that it names.
func writeControllerSettings(path string, settings *config.Controller, schedulerFile string) error {
	text, err := settings.Encode(schedulerFile)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("write the settings of controller %s: %w", settings.Name, err)
	}
	_, err = config.LoadController(path)
	return err
}
