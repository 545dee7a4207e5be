Feature: What leaves ask of the daemons
  A leaf that wants a pause, or that leaves, says so in its answers. The daemons that
  got such an answer keep to it.

  Background:
    Given a forwarding site

  Scenario Outline: leaves turn requests away and may ask for a pause
    When the leaves of "visits" add "<header>" and each rejects the request
    And a client sends 2 visits
    And 1 seconds pass
    And a client sends 4 visits
    Then the status is 503
    And the leaves of "visits" got <requests> in the meantime

    Examples: a positive number of seconds, and what is none
      | header                                     | requests |
      | Retry-After: 30                            | nothing  |
      | Retry-After: 2.5                           | nothing  |
      | Retry-After: 99999999999                   | nothing  |
      | Retry-After: 0, 30                         | nothing  |
      | X-Other: 1                                 | requests |
      | Retry-After: 0                             | requests |
      | Retry-After: -30                           | requests |
      | Retry-After: nan                           | requests |
      | Retry-After: Sat, 05 Dec 2026 03:00:00 GMT | requests |

  Scenario Outline: leaves say that they leave in any answer
    When the leaves of "visits" add "<header>" and each <fault>
    And a client sends 2 visits
    And 4 seconds pass
    And a client sends 4 visits
    Then the leaves of "visits" got <requests> in the meantime

    Examples: answers, failures and rejections
      | header            | fault               | requests |
      | Server-Leaving: 1 | works as usual      | nothing  |
      | Server-Leaving: 1 | fails               | nothing  |
      | Server-Leaving: 1 | rejects the request | nothing  |
      | Server-Leaving: 0 | works as usual      | requests |

  Scenario: a new start of leaves that left gets requests
    When the leaves of "visits" add "Server-Leaving: 1" and each works as usual
    And a client sends 2 visits
    And 4 seconds pass
    And the leaves of "visits" are started again
    And 2 seconds pass
    And a client sends 4 visits
    Then the status is 200
