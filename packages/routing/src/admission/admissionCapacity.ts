/** @fileoverview How many requests one instance may have running at once. */
import {type BackendEntry} from '../directory.js';

export interface AdmissionCapacityOptions {
  /**
   * Places given out per place of the servers. Above 1, because instances
   * don't get equal shares of the requests, and a server that runs out of
   * work has to wait for a router to send more.
   */
  headroom: number;
}

export const defaultAdmissionCapacityOptions: AdmissionCapacityOptions = {
  headroom: 1.1,
};

/**
 * An instance's part of the places of the servers that may get work.
 *
 * @param routerCount Instances that share the servers, this one included.
 */
export function admissionCapacity(
  candidates: readonly BackendEntry[],
  routerCount: number,
  options: Partial<AdmissionCapacityOptions> = {},
): number {
  const {headroom} = {...defaultAdmissionCapacityOptions, ...options};
  let places = 0;
  for (const {announcement} of candidates) places += announcement.load.capacity;
  return Math.max(1, Math.round((places * headroom) / routerCount));
}
