"""saltquayctl before a node whose answers are odd: it says so and ends by itself. Usage: node_answers_test.py BIN"""

import http.server
import os
import subprocess
import sys
import threading
import unittest

BINARIES = sys.argv.pop(1)
LEVELS = 100000
ANSWERS = {
    "empty": b"",
    "no JSON": b"<html>",
    "null": b"null",
    "a list": b"[]",
    "no members": b"{}",
    "members of other types": b'{"node":{},"ready":"yes","bundle":7,"members":7,"accepted":"yes","error":7,"detail":[]}',
    "rows of other types": b'{"accepted":true,"detail":{"history":[7,[],[1],[1,2,3]]},"members":[7],"engines":[null]}',
    "deep": b'{"accepted":true,"detail":' + b"[" * LEVELS + b"]" * LEVELS + b"}",
    "number out of range": b'{"generation":1e400}',
    "invalid UTF-8": b'{"accepted":false,"error":{"message":"\xff","type":"\xfe"}}',
}
COMMANDS = [["status"], ["bundle", "history"], ["bundle", "status", "b"], ["bundle", "roll", "b"],
            ["bundle", "approve", "b"], ["bundle", "diff", "a", "b"]]


class Node(http.server.BaseHTTPRequestHandler):
    answer = b""

    def do_GET(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.send_response(200)
        self.send_header("Content-Length", str(len(Node.answer)))
        self.end_headers()
        self.wfile.write(Node.answer)

    do_POST = do_GET

    def log_message(self, *_):
        pass


class NodeAnswersTest(unittest.TestCase):
    # Guards against: an answer of another form ends saltquayctl by an exception or a signal.
    def test_odd_answers_end_nothing(self):
        server = http.server.HTTPServer(("127.0.0.1", 0), Node)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        url = f"http://127.0.0.1:{server.server_port}"
        for name, answer in ANSWERS.items():
            Node.answer = answer
            for command in COMMANDS:
                for form in [], ["--json"]:
                    with self.subTest(answer=name, command=" ".join(command + form)):
                        run = subprocess.run([os.path.join(BINARIES, "saltquayctl"), "--node", url] + form + command,
                                             capture_output=True, timeout=10)
                        self.assertIn(run.returncode, range(5), run.stderr[-200:])
        server.shutdown()


if __name__ == "__main__":
    unittest.main()
