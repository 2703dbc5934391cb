//! The command line for keys and tokens, as an operator uses it.

use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Output};

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_laurelhitch"))
        .args(words)
        .output()
        .unwrap()
}

/// What it printed; it must have gone well.
fn fine(words: &[&str]) -> String {
    let output = run(words);
    assert!(
        output.status.success(),
        "{words:?}: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).unwrap().trim().to_owned()
}

/// The one line of its fault.
fn fault(words: &[&str]) -> String {
    let output = run(words);
    assert_eq!(output.status.code(), Some(1), "{words:?}");
    let line = String::from_utf8(output.stderr).unwrap();
    assert_eq!(line.trim_end().lines().count(), 1, "{line}");
    line
}

#[test]
fn keys_go_through_their_life_and_tokens_with_them() {
    let folder =
        Folder(std::env::temp_dir().join(format!("laurelhitch-keys-{}", std::process::id())));
    let at = folder.0.to_str().unwrap();
    fine(&["keys", "new", at, "k1"]);
    let mode = std::fs::metadata(folder.0.join("k1.key"))
        .unwrap()
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    let issue = [
        "token",
        "issue",
        at,
        "k1",
        "--caller",
        "counter-7",
        "--member",
        "water",
        "--groups",
        "3-5",
    ];
    assert!(fault(&issue).contains("index.json"));
    fine(&["keys", "announce", at, "k1", "--signs-in-s", "0"]);
    assert!(fine(&["keys", "list", at]).contains("Signing"));
    let token = fine(&issue);
    assert!(fine(&["token", "show", &token]).contains("counter-7"));
    assert_eq!(
        fine(&["token", "verify", at, &token]),
        "granted to counter-7 of water"
    );
    // A key that signs later: what it signs now is early.
    fine(&["keys", "new", at, "k2"]);
    fine(&["keys", "announce", at, "k2", "--signs-in-s", "600"]);
    let early = fine(&[
        "token",
        "issue",
        at,
        "k2",
        "--caller",
        "counter-8",
        "--member",
        "water",
    ]);
    assert!(fault(&["token", "verify", at, &early]).contains("come back"));
    fine(&["token", "revoke", at, "--caller", "counter-7"]);
    assert!(fault(&["token", "verify", at, &token]).contains("revoked"));
    fine(&["keys", "withdraw", at, "k1"]);
    assert!(fault(&["token", "verify", at, &token]).contains("withdrawn"));
    for (words, want) in [
        (&["keys", "new", at, "k1"][..], "there already"),
        (&["keys", "new", at, "a/b"], "letters, digits"),
        (&["keys", "announce", at, "k1"], "announced already"),
        (&["keys", "retire", at, "k9"], "not in the index"),
        (&["token", "show", "nonsense"], "no token"),
    ] {
        assert!(fault(words).contains(want), "{words:?}");
    }
    std::fs::write(folder.0.join("k2.pub"), "half").unwrap();
    assert!(fault(&["token", "verify", at, &token]).contains("k2.pub"));
}

/// A file that is there and cannot be looked at or read, also by root: a link to itself.
fn make_unreadable(path: &std::path::Path) {
    let _ = std::fs::remove_file(path);
    std::os::unix::fs::symlink(path, path).unwrap();
}

/// A file that cannot be looked at is no file that is missing: nothing is trusted, changed or overwritten for it.
#[test]
fn a_file_that_cannot_be_looked_at_is_not_taken_for_a_missing_one() {
    let name = format!("laurelhitch-unreadable-{}", std::process::id());
    let folder = Folder(std::env::temp_dir().join(name));
    let at = folder.0.to_str().unwrap();
    fine(&["keys", "new", at, "k1"]);
    fine(&["keys", "announce", at, "k1", "--signs-in-s", "0"]);
    fine(&["token", "revoke", at, "--caller", "counter-7"]);
    let revoked = gateway::keyfiles::revocation_path(&folder.0);
    make_unreadable(&revoked);
    assert!(
        gateway::keyfiles::read(&folder.0).is_err(),
        "no caller counts as revoked any more"
    );
    fault(&["token", "revoke", at, "--caller", "counter-8"]);
    assert!(revoked.is_symlink(), "the list was overwritten");
    std::fs::remove_file(&revoked).unwrap();

    let index = gateway::keyfiles::index_path(&folder.0);
    make_unreadable(&index);
    fine(&["keys", "new", at, "k2"]);
    fault(&["keys", "announce", at, "k2", "--signs-in-s", "0"]);
    assert!(index.is_symlink(), "the index was overwritten");
}

/// The same for the file that names the fleet's signing key.
#[test]
fn a_fleet_whose_signing_key_cannot_be_looked_up_keeps_its_keys() {
    let name = format!("laurelhitch-signs-{}", std::process::id());
    let folder = Folder(std::env::temp_dir().join(name));
    let at = folder.0.to_str().unwrap();
    fine(&["fleet-keys", "add", at, "old"]);
    let signs = folder.0.join("signs");
    make_unreadable(&signs);
    fault(&["fleet-keys", "add", at, "new"]);
    assert!(signs.is_symlink(), "another key was made to sign");
    fault(&["fleet-keys", "remove", at, "old"]);
    assert!(folder.0.join("old.key").exists(), "the signing key is gone");
}
