/** @fileoverview Request priorities, as named in contracts. */
import {type Contract} from '@dogwoodtrestle/schema';

/** Priority of a request; set by the customer's contract. */
export type Priority = Contract['priority'];

/** All priorities, the most urgent first. */
export const priorities: readonly Priority[] = [
  'urgent',
  'normal',
  'background',
];

/** Returns the position of a priority in `priorities`; 0 is most urgent. */
export function priorityRank(priority: Priority): number {
  return priorities.indexOf(priority);
}
