package main

import "github.com/spf13/cobra"

func loadCommand() *cobra.Command { return &cobra.Command{Use: "load", Hidden: true} }
