Feature: Outcomes of orders
  An order is done, refused without having run, or of unknown outcome. A repeat with the
  same idempotency key gets the first outcome at any daemon, and does not run again.

  Scenario: A repeat at another daemon
    Given a site with 2 daemons
    When the order "first" is sent to vm-1
    And the order "first" is sent to vm-2
    Then the outcomes are "done, done again"
    And the target has run "first" 1 time

  Scenario: Another order under the same key
    Given a site with 2 daemons
    When the order "reused" is sent to vm-1
    And the order "reused" with another payload is sent to vm-2
    Then the outcomes are "done, key_reused not run"
    And the target has run "reused" 1 time

  Scenario Outline: Faults while an order is in progress
    Given a separate site with 2 daemons
    And <fault>
    When the order "faulty" is sent to vm-1
    And <repair>
    And the order "faulty" is sent to <second>
    Then the outcomes are "<outcomes>"
    And the target has run "faulty" <runs> time

    Examples:
      | fault                | repair              | second | outcomes                                             | runs |
      | the target is gone   | nothing is repaired | vm-2   | no_target not run, no_target not run                 | 0    |
      | the target is silent | the target answers  | vm-2   | unknown, done again                                  | 1    |
      | the store is gone    | nothing is repaired | vm-2   | store_unavailable not run, store_unavailable not run | 0    |
      | the store is silent  | the store answers   | vm-2   | store_unavailable not run, done                      | 1    |
      | vm-2 is gone         | vm-3 is started     | vm-3   | done, done again                                     | 1    |
