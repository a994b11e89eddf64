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
			{Name: "put", Usage: "replace a team's section with FILE", ArgsUsage: "FILE", Action: configPut, Flags: clientFlags(
				team,
				&cli.Uint64Flag{Name: "base", Usage: "the `REVISION` of the section that the edit is based on; by default the one in force"},
				&cli.StringFlag{Name: "id", Usage: "the idempotency key `ID` of the edit; repeat it after an edit whose response was lost"},
				&cli.StringFlag{Name: "who", Usage: "the name of the editor; by default the user's name"},
			)},
			{Name: "diff", Usage: "show what FILE would change in a team's section", ArgsUsage: "FILE", Flags: clientFlags(team), Action: configDiff},
			{Name: "check", Usage: "check a whole document in FILE, offline", ArgsUsage: "FILE", Action: configCheck},
			{Name: "history", Usage: "list the latest edits", Flags: clientFlags(), Action: configHistory},
			{Name: "republish", Usage: "write the document in force to a platform that was rolled back to an older revision", Action: configRepublish, Flags: clientFlags(
				&cli.StringFlag{Name: "id", Usage: "the idempotency key `ID` of an earlier attempt whose response was lost"},
				&cli.StringFlag{Name: "who", Usage: "the name of the editor; by default the user's name"},
			)},
			{Name: "revert", Usage: "restore a section as of an earlier revision, as a new revision", Action: configRevert, Flags: clientFlags(
				team,
				&cli.Uint64Flag{Name: "to", Required: true, Usage: "the `REVISION` of the edit to restore"},
				&cli.StringFlag{Name: "who", Usage: "the name of the editor; by default the user's name"},
			)},
		},
	}
}

// fetchConfig returns a client and the configuration in force on its host.
func fetchConfig(ctx context.Context, c *cli.Command) (*client, *wire.ConfigResponse, error) {
	cl, err := newClient(c)
	if err != nil {
		return nil, nil, err
	}
	out := &wire.ConfigResponse{}
	_, err = cl.call(ctx, http.MethodGet, "/api/config", nil, out)
	return cl, out, err
}

func configGet(ctx context.Context, c *cli.Command) error {
	_, config, err := fetchConfig(ctx, c)
	if err != nil {
		return err
	}
	team := c.String("team")
	if team == "" {
		return printJSON(config.Document)
	}
	s, ok := config.Document.Teams[team]
	if !ok {
		return cli.Exit(fmt.Sprintf("team %q has no section", team), exitFailed)
	}
	return printJSON(s)
}

// readFileArgument decodes the file that the only argument of the command names
// into v.
func readFileArgument(c *cli.Command, v any) error {
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
	if err := readFileArgument(c, &d); err != nil {
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
	if err := readFileArgument(c, &s); err != nil {
		return err
	}
	_, config, err := fetchConfig(ctx, c)
	if err != nil {
		return err
	}
	changes := conf.Diff(config.Document.Teams[c.String("team")], s)
	if c.Bool("json") {
		return printJSON(changes)
	}
	for _, change := range changes {
		fmt.Println(change)
	}
	return nil
}

func configHistory(ctx context.Context, c *cli.Command) error {
	_, config, err := fetchConfig(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(config.Head.History)
	}
	for _, commit := range config.Head.History {
		fmt.Printf("%6d  %s  %-16s by %-16s %.12s\n", commit.Revision, commit.At.Format("2006-01-02 15:04:05"), commit.Team, commit.Who, commit.Digest)
	}
	return nil
}

// editorName returns the name of the editor: the flag who, or the user's name.
func editorName(c *cli.Command) string {
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
	if err := readFileArgument(c, &s); err != nil {
		return err
	}
	cl, config, err := fetchConfig(ctx, c)
	if err != nil {
		return err
	}
	base := config.Head.Sections[team].Revision
	if c.IsSet("base") {
		base = c.Uint64("base")
	}
	return putSection(ctx, c, cl, team, s, base)
}

// editID returns the idempotency key of an edit: the flag id, or a new random
// one.
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
	if _, err := cl.call(ctx, http.MethodPost, "/api/republish", wire.PutRequest{Who: editorName(c), ID: id}, &out); err != nil {
		return fmt.Errorf("%w; it is unknown whether the document was written: repeat the command with --id %s", err, id)
	}
	if out.Commit == nil {
		return cli.Exit(fmt.Sprintf("%s; repeat the command with --id %s", out.Error, id), exitFailed)
	}
	fmt.Printf("written back as revision %d\n", out.Commit.Revision)
	return nil
}

// putSection replaces a team's section and prints the result.
func putSection(ctx context.Context, c *cli.Command, cl *client, team string, s conf.Section, base uint64) error {
	id := editID(c)
	var out wire.PutResponse
	_, err := cl.call(ctx, http.MethodPut, "/api/config/"+team, wire.PutRequest{Section: s, Base: base, Who: editorName(c), ID: id}, &out)
	if err != nil {
		return fmt.Errorf("%w; it is unknown whether the edit was accepted: repeat it with --id %s --base %d", err, id, base)
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
		for _, change := range conf.Diff(*out.Theirs, s) {
			fmt.Fprintln(os.Stderr, " ", change)
		}
		return cli.Exit(out.Error, exitConflict)
	case "check", "denied", "behind":
		return cli.Exit(out.Error, exitUsage)
	}
	return cli.Exit(fmt.Sprintf("%s; repeat the edit with --id %s --base %d", out.Error, id, base), exitFailed)
}

func configRevert(ctx context.Context, c *cli.Command) error {
	team := c.String("team")
	cl, config, err := fetchConfig(ctx, c)
	if err != nil {
		return err
	}
	for _, commit := range config.Head.History {
		if commit.Team != team || commit.Revision != c.Uint64("to") {
			continue
		}
		var s conf.Section
		if _, err := cl.call(ctx, http.MethodGet, "/api/section/"+commit.Digest, nil, &s); err != nil {
			return err
		}
		return putSection(ctx, c, cl, team, s, config.Head.Sections[team].Revision)
	}
	return errors.New("the history has no edit of the team's section with this revision")
}
