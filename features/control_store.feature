Feature: Control plane with a failing store
  Change tickets, watches and leases stay correct whatever the store does.

  Scenario Outline: a change ticket while the store has a fault
    Given a control site of 6 daemons
    When the store's fault is "<fault>"
    And an operator applies ticket 2
    Then the verdict on ticket 2 is "<verdict>"
    And ticket 2 is in force in <share> of the daemons within 5 seconds
    And no daemon reverts to an older ticket

    Examples: timeout, refusal, lost reply, stale read, late and lost events
      | fault                         | verdict           | share |
      | none                          | accepted          | all   |
      | refuses every call            | store_unavailable | none  |
      | never replies                 | store_unavailable | none  |
      | loses the reply of the write  | accepted          | all   |
      | loses every third reply       | accepted          | all   |
      | replies after 400 ms          | accepted          | all   |
      | forgets the watches           | accepted          | all   |
      | reads are stale for a daemon  | accepted          | all   |
      | out of reach of the daemons   | accepted          | all   |
      | down right after acceptance   | accepted          | all   |

  Scenario Outline: a daemon starts while the store has a fault
    Given a control site of 6 daemons
    When the store's fault is "<fault>"
    And a daemon crashes and starts again
    Then it accepts work under ticket 1 within <seconds> seconds

    Examples:
      | fault                 | seconds |
      | none                  | 2       |
      | refuses every call    | 3       |
      | never replies         | 3       |
      | replies after 400 ms  | 3       |

  Scenario Outline: the holder of a lease fails
    Given a control site of 4 daemons
    And one of them holds the lease "duty" and the others request it
    When the holder <event>
    Then another one holds the lease "duty" within <seconds> seconds
    And no two daemons hold the lease "duty" at the same time

    Examples: lapse in a pause, lost renewal, death, hand-over
      | event                         | seconds |
      | crashes                       | 7       |
      | is paused for 60 seconds      | 7       |
      | loses its link to the store   | 7       |
      | drains                        | 3       |
