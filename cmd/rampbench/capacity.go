package main

import "github.com/urfave/cli/v3"

func capacityCommand() *cli.Command { return &cli.Command{Name: "capacity", Hidden: true} }
