package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/user"

	"github.com/urfave/cli/v3"

	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/conf"
)

func configCommand() *cli.Command {
	team := &cli.StringFlag{Name: "team", Usage: "the `TEAM` that owns the section"}
	return &cli.Command{
		Name:  "config",
		Usage: "read, check and edit the configuration",
		Commands: []*cli.Command{
			{Name: "get", Usage: "print the document or one team's section", Flags: clientFlags(team), Action: configGet},
			{Name: "put", Usage: "replace a team's section by FILE", ArgsUsage: "FILE", Action: configPut, Flags: clientFlags(
				team,
				&cli.Uint64Flag{Name: "base", Usage: "the section's `REVISION` that the edit was made from; by default the one in force now"},
				&cli.StringFlag{Name: "id", Usage: "the edit's `ID`; repeat it to settle an edit whose answer was lost"},
				&cli.StringFlag{Name: "who", Usage: "who makes the edit; by default the user's name"},
			)},
			{Name: "diff", Usage: "show what FILE would change in a team's section", ArgsUsage: "FILE", Flags: clientFlags(team), Action: configDiff},
			{Name: "check", Usage: "check a whole document in FILE, offline", ArgsUsage: "FILE", Action: configCheck},
			{Name: "history", Usage: "list the latest edits", Flags: clientFlags(), Action: configHistory},
			{Name: "republish", Usage: "write the document in force back to a platform that went back in time", Action: configRepublish, Flags: clientFlags(
				&cli.StringFlag{Name: "id", Usage: "the `ID` of an earlier try whose answer was lost"},
				&cli.StringFlag{Name: "who", Usage: "who does it"},
			)},
			{Name: "revert", Usage: "put a section back as it was at a revision, as a new revision", Action: configRevert, Flags: clientFlags(
				team,
				&cli.Uint64Flag{Name: "to", Required: true, Usage: "the `REVISION` of the edit to go back to"},
				&cli.StringFlag{Name: "who", Usage: "who makes the edit"},
			)},
		},
	}
}

// inForce returns the configuration as a host has it.
func inForce(ctx context.Context, c *cli.Command) (*client, *wire.ConfigResponse, error) {
	cl, err := newClient(c)
	if err != nil {
		return nil, nil, err
	}
	out := &wire.ConfigResponse{}
	_, err = cl.call(ctx, http.MethodGet, "/api/config", nil, out)
	return cl, out, err
}

func configGet(ctx context.Context, c *cli.Command) error {
	_, got, err := inForce(ctx, c)
	if err != nil {
		return err
	}
	team := c.String("team")
	if team == "" {
		return printJSON(got.Document)
	}
	s, ok := got.Document.Teams[team]
	if !ok {
		return cli.Exit(fmt.Sprintf("team %q has no section", team), exitFailed)
	}
	return printJSON(s)
}

// fileArgument reads and decodes the file that the command names.
func fileArgument(c *cli.Command, v any) error {
	if c.Args().Len() != 1 {
		return cli.Exit("exactly one FILE is expected", exitUsage)
	}
	name := c.Args().First()
	data, err := os.ReadFile(name)
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	if err := conf.Decode(data, v); err != nil {
		return cli.Exit(fmt.Sprintf("%s: %v", name, err), exitUsage)
	}
	return nil
}

func configCheck(_ context.Context, c *cli.Command) error {
	var d conf.Document
	if err := fileArgument(c, &d); err != nil {
		return err
	}
	if err := conf.Check(&d); err != nil {
		return cli.Exit(fmt.Sprintf("%s has faults:\n%v", c.Args().First(), err), exitUsage)
	}
	fmt.Printf("%s is good: %d teams\n", c.Args().First(), len(d.Teams))
	return nil
}

func configDiff(ctx context.Context, c *cli.Command) error {
	var s conf.Section
	if err := fileArgument(c, &s); err != nil {
		return err
	}
	_, got, err := inForce(ctx, c)
	if err != nil {
		return err
	}
	changes := conf.Diff(got.Document.Teams[c.String("team")], s)
	if c.Bool("json") {
		return printJSON(changes)
	}
	for _, x := range changes {
		fmt.Println(x)
	}
	return nil
}

func configHistory(ctx context.Context, c *cli.Command) error {
	_, got, err := inForce(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(got.Head.History)
	}
	for _, x := range got.Head.History {
		fmt.Printf("%6d  %s  %-16s by %-16s %.12s\n", x.Revision, x.At.Format("2006-01-02 15:04:05"), x.Team, x.Who, x.Digest)
	}
	return nil
}

// whoEdits returns who makes an edit.
func whoEdits(c *cli.Command) string {
	if w := c.String("who"); w != "" {
		return w
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func configPut(ctx context.Context, c *cli.Command) error {
	team := c.String("team")
	if team == "" {
		return cli.Exit("--team must be given", exitUsage)
	}
	var s conf.Section
	if err := fileArgument(c, &s); err != nil {
		return err
	}
	cl, got, err := inForce(ctx, c)
	if err != nil {
		return err
	}
	base := got.Head.Sections[team].Revision
	if c.IsSet("base") {
		base = c.Uint64("base")
	}
	return putSection(ctx, c, cl, team, s, base)
}

// editID returns the identifier of an edit: the one given, or a new one.
func editID(c *cli.Command) string {
	if id := c.String("id"); id != "" {
		return id
	}
	return rand.Text()
}

func configRepublish(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	id := editID(c)
	var out wire.PutResponse
	if _, err := cl.call(ctx, http.MethodPost, "/api/republish", wire.PutRequest{Who: whoEdits(c), ID: id}, &out); err != nil {
		return fmt.Errorf("%w; whether it took effect is not known: repeat it with --id %s", err, id)
	}
	if out.Commit == nil {
		return cli.Exit(fmt.Sprintf("%s; a repeat needs --id %s", out.Error, id), exitFailed)
	}
	fmt.Printf("written back as revision %d\n", out.Commit.Revision)
	return nil
}

// putSection commits a section and prints what became of it.
func putSection(ctx context.Context, c *cli.Command, cl *client, team string, s conf.Section, base uint64) error {
	id := editID(c)
	var out wire.PutResponse
	_, err := cl.call(ctx, http.MethodPut, "/api/config/"+team, wire.PutRequest{Section: s, Base: base, Who: whoEdits(c), ID: id}, &out)
	if err != nil {
		return fmt.Errorf("%w; whether the edit was accepted is not known: repeat it with --id %s --base %d", err, id, base)
	}
	if out.Commit != nil {
		if c.Bool("json") {
			return printJSON(out.Commit)
		}
		fmt.Printf("accepted as revision %d; wait for it with: lagoonramp status --wait %d\n", out.Commit.Revision, out.Commit.Revision)
		return nil
	}
	switch out.Kind {
	case "conflict":
		fmt.Fprintf(os.Stderr, "%s edited the section in between (revision %d). What your edit would change in it now:\n", out.LastEditor, out.CurrentRevision)
		for _, x := range conf.Diff(*out.Theirs, s) {
			fmt.Fprintln(os.Stderr, " ", x)
		}
		return cli.Exit(out.Error, exitConflict)
	case "check", "denied", "behind":
		return cli.Exit(out.Error, exitUsage)
	}
	return cli.Exit(fmt.Sprintf("%s; repeat it with --id %s --base %d", out.Error, id, base), exitFailed)
}

func configRevert(ctx context.Context, c *cli.Command) error {
	team := c.String("team")
	cl, got, err := inForce(ctx, c)
	if err != nil {
		return err
	}
	for _, x := range got.Head.History {
		if x.Team != team || x.Revision != c.Uint64("to") {
			continue
		}
		var s conf.Section
		if _, err := cl.call(ctx, http.MethodGet, "/api/section/"+x.Digest, nil, &s); err != nil {
			return err
		}
		return putSection(ctx, c, cl, team, s, got.Head.Sections[team].Revision)
	}
	return errors.New("the history holds no such edit of the team's section")
}
