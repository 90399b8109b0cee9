package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"glenport/internal/config"
	"glenport/internal/controller/api"
	"glenport/internal/controller/server"
	"glenport/internal/controller/watchcache"

	"github.com/spf13/cobra"
)

func keeperCommand() *cobra.Command {
	var file, form string
	c := &cobra.Command{Use: "controller", Aliases: []string{"keeper"}, Short: "Keep jobs running and serve the API", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log, err := logger(form)
			if err != nil {
				return err
			}
			k, err := config.LoadController(file)
			if err != nil {
				return err
			}
			h, err := server.New(server.Config{Name: k.Name, Schedulers: k.SchedulerAddrs, MachineList: k.MachineListAddr, Seed: k.Seed, StateDir: k.StateDir, SchedulerConfig: k.Scheduler},
				watchcache.New(api.EncodeWatchEvent), log)
			if err != nil {
				return err
			}
			server := api.NewHTTPServer(k.APIAddr, api.New(h))
			told := make(chan os.Signal, 1)
			signal.Notify(told, syscall.SIGINT, syscall.SIGTERM)
			failed := make(chan error, 1)
			go func() {
				if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
					failed <- err
					h.Stop()
				}
			}()
			go func() {
				<-told
				ctx, done := context.WithTimeout(context.Background(), 2*time.Second)
				defer done()
				server.Shutdown(ctx)
				server.Close()
				h.Stop()
			}()
			log.Info("keeper up", "name", k.Name, "api", k.APIAddr, "placers", len(k.SchedulerAddrs))
			runtime.LockOSThread()
			if err := h.Run(); err != nil {
				return err
			}
			select {
			case err := <-failed:
				return err
			default:
				return nil
			}
		}}
	c.Flags().StringVarP(&file, "config", "c", "", "the keeper's file")
	c.Flags().StringVar(&form, "log", "text", "form of the log: text or json")
	c.MarkFlagRequired("config")
	return c
}
