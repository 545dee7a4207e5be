Feature: Forwarded requests to failing leaves
  A client gets a complete and correct answer, or a status that says correctly whether
  the request ran.

  Background:
    Given a forwarding site

  Scenario Outline: one leaf of a shard has a fault
    When the leaf "shard-1-0" <fault>
    And a client searches 4 times
    Then every answer holds the greatest records of the parts that it names
    And no answer misses a shard

    Examples: late, lost, refused, corrupt and misdirected answers
      | fault                              |
      | works as usual                     |
      | stays silent                       |
      | resets the connection              |
      | rejects the request                |
      | fails                              |
      | breaks its answer off              |
      | stops in its answer's head         |
      | sends an answer without end        |
      | sends bytes that are no answer     |
      | answers twice                      |
      | repeats an earlier answer first    |
      | gives its answer no length         |

  Scenario: every leaf of a shard stays silent
    When the leaf "shard-2-0" stays silent
    And the leaf "shard-2-1" stays silent
    And a client searches 2 times
    Then every answer holds the greatest records of the parts that it names
    And every answer misses 1 shard

  Scenario Outline: every leaf of a service has a fault, and the request may run once
    When the leaf "visits-0" <fault>
    And the leaf "visits-1" <fault>
    And a client sends a visit
    Then the status is <status>
    And the visit ran <runs>

    Examples: a status that means "not run" only if it is true
      | fault                          | status | runs         |
      | works as usual                 | 200    | once         |
      | rejects the request            | 503    | never        |
      | stays silent                   | 504    | never        |
      | resets the connection          | 502    | once         |
      | fails                          | 500    | once         |
      | breaks its answer off          | 502    | once         |
      | stops in its answer's head     | 502    | once         |
      | sends an answer without end    | 502    | once         |
      | sends bytes that are no answer | 502    | once         |
      | answers twice                  | 200    | once         |
