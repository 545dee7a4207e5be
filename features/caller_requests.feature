Feature: Invalid requests of callers
  An invalid request gets a JSON error with a code and a correct statement whether any
  part of the request has run. The connection and the daemon continue to serve.

  Background:
    Given a site with 2 daemons
    And an open connection to vm-1

  Scenario Outline: Invalid bodies
    When the caller posts the body <body> to <path>
    Then the answer has status <status> and code "<code>"
    And the answer says that the request has not run
    And the same connection serves a search

    Examples: Bodies that are not a message
      | path       | body                      | status | code              |
      | /v1/search | {                         | 400    | malformed_message |
      | /v1/search | nothing                   | 400    | malformed_message |
      | /v1/search | bytes that are no UTF-8   | 400    | malformed_message |
      | /v1/search | []                        | 400    | malformed_message |
      | /v1/search | {}                        | 400    | malformed_message |
      | /v1/order  | null                      | 400    | malformed_message |
      | /v1/order  | {                         | 400    | malformed_message |

  Scenario Outline: Invalid fields of a search
    When the caller posts a search with <field> set to <value>
    Then the answer has status <status> and code "<code>"
    And the answer says that the request has not run
    And the same connection serves a search

    Examples:
      | field       | value          | status | code              |
      | service     | "nobody"       | 404    | unknown_service   |
      | service     | "orders"       | 400    | wrong_kind        |
      | service     | 7              | 400    | malformed_message |
      | query       | null           | 400    | malformed_message |
      | customer    | ""             | 400    | malformed_message |
      | customer    | 101 characters | 400    | malformed_message |
      | deadline_ms | 0              | 504    | deadline_passed   |
      | deadline_ms | -5             | 504    | deadline_passed   |
      | deadline_ms | "soon"         | 400    | malformed_message |
      | deadline_ms | 1.5            | 400    | malformed_message |

  Scenario Outline: Invalid fields of an order
    When the caller posts an order with <field> set to <value>
    Then the answer has status <status> and code "<code>"
    And the answer says that the request has not run
    And the same connection serves a search

    Examples:
      | field           | value          | status | code              |
      | idempotency_key | missing        | 400    | malformed_message |
      | idempotency_key | ""             | 400    | malformed_message |
      | idempotency_key | 201 characters | 400    | malformed_message |
      | idempotency_key | 5              | 400    | malformed_message |
      | payload         | missing        | 400    | malformed_message |
      | customer        | missing        | 400    | malformed_message |
      | service         | "nobody"       | 404    | unknown_service   |
      | service         | "stock"        | 400    | wrong_kind        |
      | deadline_ms     | -1             | 504    | deadline_passed   |

  Scenario Outline: Invalid use of HTTP
    When the caller sends a request with <fault>
    Then the answer has status <status> and code "<code>"
    And another connection to vm-1 serves a search

    Examples:
      | fault                      | status | code           |
      | a body over the limit      | 413    | body_too_large |
      | an unknown path            | 404    | no_such_path   |
      | the wrong method           | 404    | no_such_path   |
      | a body that ends early     | 408    | body_too_slow  |
      | a body that stops half way | 408    | body_too_slow  |

  Scenario: A slow sender does not delay other callers
    When the caller stops in the middle of a body
    Then another connection to vm-1 serves a search within 2 seconds
