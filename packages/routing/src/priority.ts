/** @fileoverview Priorities of requests, as contracts name them. */
import {type Contract} from '@dogwoodtrestle/schema';

export type Priority = Contract['priority'];

/** Most urgent first. */
export const priorities: readonly Priority[] = [
  'urgent',
  'normal',
  'background',
];

/** 0 is the most urgent. */
export function priorityRank(priority: Priority): number {
  return priorities.indexOf(priority);
}
