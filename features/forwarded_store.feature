Feature: Forwarded requests and the platform's store
  The known configuration and leaves stay in use while the store fails, and changes take
  effect when it works again.

  Background:
    Given a forwarding site

  Scenario Outline: the store has a fault
    When the store <fault>
    And 2 seconds pass
    And a client searches 4 times
    Then no answer misses a shard
    When the store works as usual
    And a new version of the configuration is written
    Then it is in force on every daemon within 5 seconds

    Examples: refusals, silence, lost history
      | fault                     |
      | works as usual            |
      | refuses every call        |
      | is too busy for any call  |
      | stays silent              |
      | forgets its history       |

  Scenario Outline: an item of the store cannot be read
    When another writer puts <value> at "<key>"
    And a client searches 4 times
    Then no answer misses a shard
    When a new version of the configuration is written
    Then it is in force on every daemon within 5 seconds

    Examples: the last good configuration and the other leaves stay in use
      | key               | value                                   |
      | op/config         | {"Version": "seven"}                    |
      | op/config         | [1, 2]                                  |
      | servers/stranger  | "text"                                  |
      | servers/stranger  | {"Service": "shard-0"}                  |
      | servers/stranger  | {"Service": 4, "Address": "127.0.0.1:1"} |
      | servers/shard-0-0 | null                                    |
