Feature: Replay of recorded traces
  An operator replays what a node recorded and learns whether any invariant
  was broken.

  Scenario Outline: Replaying <trace> shows no violation
    Given the recorded trace "<trace>"
    When it is replayed against its stated outcomes
    Then the exit code is 0
    And no invariant is violated
    And a second replay gives the same digest

    Examples:
      | trace           |
      | configuration   |
      | leaving-workers |
      | lost-answers    |
      | lost-worker     |
      | planned-stop    |

  Scenario: A stated outcome that does not hold
    Given the recorded trace "lost-worker"
    When it is replayed against "[counts]" with "tasks_finished = 11"
    Then the exit code is 1
