//! Answers that tests let their targets send.

/// Answer of a target.
#[derive(Debug, Clone, Copy)]
pub struct ScriptedAnswer {
    pub status: u16,
    /// Whether it says that the request did not run.
    pub not_run: bool,
    pub body: &'static str,
}

/// Success, whose body is also that of a stream with one event.
pub const OWN_ANSWER: ScriptedAnswer = ScriptedAnswer {
    status: 200,
    not_run: false,
    body: "id: 0\ndata: own\n\n",
};

/// Returns an answer with this status.
pub const fn status(status: u16) -> ScriptedAnswer {
    ScriptedAnswer {
        status,
        not_run: false,
        body: "no",
    }
}

/// Returns an answer with this status which says that the request did not run.
pub const fn refusal(status: u16) -> ScriptedAnswer {
    ScriptedAnswer {
        status,
        not_run: true,
        body: "no",
    }
}

/// Returns a success with this body.
pub const fn whole(body: &'static str) -> ScriptedAnswer {
    ScriptedAnswer { body, ..OWN_ANSWER }
}

impl ScriptedAnswer {
    /// Returns the bytes of the answer to a request with this ID, if it has one.
    pub fn bytes(self, id: Option<&str>) -> String {
        let id = id.map_or_else(String::new, |it| format!("x-id: {it}\r\n"));
        let not_run = if self.not_run { "x-not-run: 1\r\n" } else { "" };
        format!(
            "HTTP/1.1 {} Status\r\n{id}{not_run}x-stamp: s\r\nx-version: 1\r\n\
             content-length: {}\r\n\r\n{}",
            self.status,
            self.body.len(),
            self.body
        )
    }
}
