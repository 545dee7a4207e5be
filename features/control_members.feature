Feature: Membership from the VM list and from peers
  The VM list lags behind and peers fail; each daemon's view of the live daemons stays
  correct.

  Scenario Outline: what the VM list shows
    Given a control site of 5 daemons
    When the VM list <change>
    Then all daemons consider <live> daemons live within <seconds> seconds

    Examples: no answer, late entries, stale entries
      | change                            | live | seconds |
      | gives no answer                   | 5    | 10      |
      | still shows vm-002 after its end  | 4    | 12      |
      | shows vm-002 as leaving           | 4    | 10      |
      | lacks vm-002 from now on          | 4    | 10      |
      | shows a fresh VM                  | 6    | 6       |

  Scenario: a daemon that is not on the VM list
    Given a control site of 3 daemons
    When a daemon starts that is not on the VM list
    Then its messages are refused with the reason "stranger" and counted
    And all other daemons consider 3 daemons live within 5 seconds

  Scenario Outline: a link fails
    Given a control site of 5 daemons
    When the link <fault>
    Then all daemons consider 5 daemons live within 1 seconds
    And no daemon is declared dead in 20 seconds

    Examples: lost requests, lost replies, delay
      | fault                                    |
      | between vm-000 and vm-001 is cut         |
      | from vm-000 to vm-001 loses all messages |
      | between any two takes 250 ms             |

  Scenario Outline: a peer's message that cannot be decoded
    When a peer's message is <fault>
    Then decoding it fails with "<code>"

    Examples:
      | fault                   | code              |
      | no MessagePack          | malformed_message |
      | of version 99           | unknown_version   |
      | of an unknown name      | malformed_message |
      | short of a field        | malformed_message |
      | a reply in place of one | malformed_message |

  Scenario: a peer with an outdated configuration
    Given a control site of 6 daemons
    When vm-003 is disconnected while ticket 2 is applied
    And the daemon is reconnected
    Then ticket 2 is in force in all of the daemons within 5 seconds
    And no daemon reverts to an older ticket
