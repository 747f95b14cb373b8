#!/bin/bash
# Checks that names on the pages exist: every path, function, constant and
# type that docs/**/*.md or README.md puts in backticks must stand in the
# tree.  Prints each place with an unknown name and exits with 1 then.
# A metric counts as known when the code holds the part between
# "madderpier_" and "_total", "_seconds" or "_seconds_bucket".
set -u
cd "$(dirname "$0")/.."

# Outer names that the tree does not hold: of the platform, of libraries.
allowed=""

allowed="$allowed" exec python3 - <<'PY'
import fnmatch, os, re, sys

allowed = set(os.environ["allowed"].split())
files = []
for folder, folders, names in os.walk("."):
    folders[:] = [d for d in folders
                  if d not in (".git", "target", "journal") and
                  not d.startswith("build")]
    files += [os.path.relpath(os.path.join(folder, n), ".") for n in names]
pages = [f for f in files if f == "README.md" or
         f.startswith("docs/") and f.endswith(".md")]
# Words count as known where code stands, not on pages or in the journal.
code = [f for f in files if not f.startswith(("docs/", "journal/")) and
        not f.endswith(".md") and f != "scripts/pages.sh"]
words = set()
for f in code:
    with open(f, encoding="utf-8", errors="replace") as text:
        words.update(re.findall(r"[A-Za-z_]\w*", text.read()))

folders = {f.split("/")[0] for f in files if "/" in f}
paths = set(files)
for f in files:
    parts = f.split("/")
    for i in range(1, len(parts)):
        paths.add("/".join(parts[:i]))
bare = {os.path.basename(p) for p in paths}
stems = {os.path.splitext(b)[0] for b in bare}

def path_known(path):
    path = path.removeprefix("./").rstrip("/")
    if path + ".c" in paths or path + ".h" in paths:
        return True
    if "*" in path or "{" in path:
        return any(fnmatch.fnmatch(p, path) or fnmatch.fnmatch(p, "*/" + path)
                   for p in paths)
    return path in paths or path in bare or \
        any(p.endswith("/" + path) for p in paths)

def word_known(word):
    if word in allowed or word in words or word in stems:
        return True
    if word.startswith("_") and any(w.endswith(word) for w in words):
        return True  # the end of names, such as _MAX
    if word.endswith("_") and any(w.startswith(word) for w in words):
        return True  # the beginning of names, such as is_
    metric = re.fullmatch(
        r"madderpier_(\w+?)(_total|_seconds|_seconds_bucket)", word)
    if metric and metric[1] in words:
        return True
    if "*" in word:
        pattern = re.compile(fnmatch.translate(word))
        return any(pattern.match(w) for w in words) or \
            any(pattern.match(b) for b in bare | stems)
    return False

path_like = re.compile(
    r"(?:[\w.*-]+/)+[\w.*-]*|[\w.*-]+\.(?:c|h|cc|lua|sh|py)$")
names = unknown = 0
for page in pages:
    with open(page, encoding="utf-8") as text:
        lines = text.read().split("\n")
    fenced = False
    for number, line in enumerate(lines, 1):
        if line.lstrip().startswith("```"):
            fenced = not fenced
            continue
        if fenced:
            continue
        for span in re.findall(r"`([^`]+)`", line):
            for token in re.split(r"[\s,;|=\"'<>]+", span):
                token = re.sub(r"\.\.\.?$", "*", token).strip(".:()[]!?&")
                known = None
                whole = path_like.fullmatch(token)
                if whole and (token.split("/")[0] in folders or
                              re.search(r"\.(c|h|cc|lua|sh|py)$", token)):
                    known = path_known(token)
                    names += 1
                    if not known:
                        print(f"{page}:{number}: no such file: {token}")
                        unknown += 1
                    continue
                for word, call in re.findall(
                        r"(?<![\w/%$*-])([A-Za-z_*][\w*]*)(\(?)", token):
                    if not (call or "_" in word or
                            re.match(r"[A-Z]\w*[a-z]\w*[A-Z]\w*$", word)):
                        continue
                    names += 1
                    if not word_known(word):
                        print(f"{page}:{number}: no such name: {word}")
                        unknown += 1
print(f"{names} names on pages, {unknown} unknown")
sys.exit(1 if unknown else 0)
PY
