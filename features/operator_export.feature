Feature: Export of all requests of a customer that leaves
  The export holds each request once. Requests that are missing are covered by a listed
  gap, with the VM, its life and the time in which they arrived.

  Scenario Outline: A fault while the requests are recorded
    Given three daemons whose journal is written every 500 ms
    When a customer sends 3 requests to "vm-1" and then <fault>
    And the operator exports the customer's requests
    Then the export holds <records> requests once each
    And the gaps of "vm-1" are "<gaps>"
    And every other request lies in one of the gaps

    Examples:
      | fault                                             | records | gaps      |
      | nothing happens for 2000 ms                       | 3       | open      |
      | the daemon leaves in order                        | 3       |           |
      | the daemon crashes at once                        | 0       | open      |
      | the daemon crashes at once and starts again       | 0       | unwritten,open |
      | the daemon crashes after 2000 ms                  | 3       | open      |
      | the store is down for 5000 ms                     | 3       | open      |
      | the store is down and the daemon crashes          | 0       | open      |
      | each reply of the store is lost for 5000 ms       | 3       | open      |
      | a batch vanishes from the store                   | 0       | open,missing |

  Scenario Outline: An invalid command
    When the operator runs "customer export c --from <from> --to <to> --out x --store 127.0.0.1:1"
    Then the command exits with code 2 and prints "<message>"

    Examples:
      | from       | to         | message             |
      | yesterday  | 2026-01-01 | is no time          |
      | 2026-01-02 | 2026-01-01 | must be before      |
      | 2026-01-01 | 2999-01-01 | lies in the future  |
