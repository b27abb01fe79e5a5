package pagecheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// readerPages are the pages that introduce new readers to the code.
var readerPages = []string{"docs/architecture.md", "docs/glossary.md"}

// commandList is the golden file with all commands and their flags.
const commandList = "cmd/moorstack/testdata/commands.txt"

var (
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	// repositoryPath matches a path relative to the repository's root.
	repositoryPath = regexp.MustCompile(`^(internal|cmd|balancer|docs|deploy|experiments|journal|\.ci)(/|$)`)
	// goIdentifier matches a package name with an identifier or with a type and its member, such as
	// broker.Broker.Submit.
	goIdentifier = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)$`)
	goFile       = regexp.MustCompile(`^[\w/.-]+\.(go|md|toml|txt|proto)$`)
)

// finding is a name in a page that refers to nothing that exists.
type finding struct{ page, name, problem string }

// checkPage returns the names in a page that refer to nothing that exists.
func checkPage(page, text string, packages map[string]*goPackage, commands string) (findings []finding) {
	byName := map[string][]*goPackage{}
	for _, p := range packages {
		byName[p.name] = append(byName[p.name], p)
	}
	for _, match := range codeSpan.FindAllStringSubmatch(text, -1) {
		if problem := checkName(match[1], byName, commands); problem != "" {
			findings = append(findings, finding{page, match[1], problem})
		}
	}
	return findings
}

func checkName(name string, byName map[string][]*goPackage, commands string) string {
	switch {
	case strings.HasPrefix(name, "moorstack "):
		return checkCommand(name, commands)
	case repositoryPath.MatchString(name):
		if _, err := os.Stat(filepath.Join(root, filepath.FromSlash(name))); err != nil {
			return "the file or folder does not exist"
		}
	case goFile.MatchString(name):
		return "a file must be named by its path from the repository's root"
	default:
		if parts := goIdentifier.FindStringSubmatch(name); parts != nil {
			return checkIdentifier(byName[parts[1]], parts[1], parts[2])
		}
	}
	return ""
}

func checkIdentifier(packages []*goPackage, name, identifier string) string {
	if len(packages) == 0 {
		return "there is no package " + name
	}
	for _, p := range packages {
		if p.declared[identifier] {
			return ""
		}
	}
	return "package " + name + " does not declare it"
}

// checkCommand checks that the list of commands contains the command's words up to the first argument or
// flag.
func checkCommand(name, commands string) string {
	words := strings.Fields(name)
	for end := 1; end < len(words); end++ {
		if first := words[end][0]; first == '-' || first == '[' || first < 'a' || first > 'z' {
			words = words[:end]
			break
		}
	}
	if strings.Contains(commands, "command "+strings.Join(words, " ")+"\n") {
		return ""
	}
	return "the command is not in " + commandList
}

func TestPagesNameWhatExists(t *testing.T) {
	packages := loadPackages(t)
	commands := read(t, commandList)
	for _, page := range readerPages {
		for _, f := range checkPage(page, read(t, page), packages, commands) {
			t.Errorf("%s: `%s`: %s", f.page, f.name, f.problem)
		}
	}
}

func TestEveryPackageStandsInTheArchitecture(t *testing.T) {
	text := read(t, "docs/architecture.md")
	for folder := range loadPackages(t) {
		if !strings.Contains(text, "`"+folder+"`") {
			t.Errorf("docs/architecture.md does not name `%s`", folder)
		}
	}
}

func TestExportedIdentifiersAreDocumented(t *testing.T) {
	for _, p := range loadPackages(t) {
		for _, u := range p.undocumented {
			t.Errorf("%s has no doc comment", u)
		}
	}
}

func TestWrongNamesInPagesAreFound(t *testing.T) {
	packages := loadPackages(t)
	for text, want := range map[string]int{
		"`internal/verify/pagecheck` and `balancer`":       0,
		"`internal/verify/nothing`":                        1,
		"`docs/nothing.md`":                                1,
		"`pagecheck/doc.go`":                               1,
		"`balancer.Balancer`, `balancer.Balancer.Submit`":  0,
		"`balancer.Nothing` and `balancer.Balancer.Never`": 2,
		"`balance.Balancer`":                               1,
		"`moorstack config propose`":                       0,
		"`moorstack config propose FILE`":                  0,
		"`moorstack config nothing FILE`":                  1,
		"`retry_after` and `class`":                        0,
	} {
		got := checkPage("a page", text, packages, read(t, commandList))
		if len(got) != want {
			t.Errorf("%s: %d findings %v, want %d", text, len(got), got, want)
		}
	}
}

func read(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(path)))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}
