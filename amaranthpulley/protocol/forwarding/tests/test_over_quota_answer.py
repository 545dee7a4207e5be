"""The answer to a request of an account that exceeds its quota."""

import unittest

from amaranthpulley.coordination.forwarding import commands
from amaranthpulley.protocol.forwarding import client_answers, header_names

FIELDS = header_names.HeaderNames._fields
NAMES = header_names.HeaderNames(*(f"x-{name}".encode() for name in FIELDS))


class OverQuotaAnswerTest(unittest.TestCase):
    """Without the status and the time, clients would repeat at once or never."""

    def test_answer_is_429_with_the_time_to_return(self) -> None:
        refusal = commands.Refuse(1, commands.Refusal.OVER_QUOTA, True, 250)
        answer = client_answers.encode_refusal(refusal, b"r1", NAMES, False)
        self.assertTrue(answer.startswith(b"HTTP/1.1 429 "), answer)
        self.assertIn(NAMES.retry_after.lower() + b": 0.250", answer.lower())


if __name__ == "__main__":
    unittest.main()
