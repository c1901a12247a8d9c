"""The public interface of the decision core."""

from skylarklug import reducer

new_state = reducer.new_state
reduce = reducer.reduce
