/** @fileoverview How many requests one instance may have running at once. */
import {type BackendEntry} from '../directory.js';

export interface AdmissionCapacityOptions {
  /**
   * Places given out per place of the servers. Above 1, because a server that
   * runs out of work has to wait for a router to send more.
   */
  headroom: number;
}

export const defaultAdmissionCapacityOptions: AdmissionCapacityOptions = {
  headroom: 1.1,
};

export interface AdmissionCapacityInput {
  /** Servers that may get work. */
  candidates: readonly BackendEntry[];
  /** Number to add to the reported load; see `LoadTracker.correction`. */
  loadCorrection: (entry: BackendEntry) => number;
  /** Requests that this instance has running. */
  running: number;
  /** Instances that share the servers, this one included. */
  routerCount: number;
}

/**
 * An equal part of the servers' places, or where the servers have places free,
 * what the instance uses already and an equal part of those. So an instance
 * with more callers than the others gets more places while they need fewer.
 */
export function admissionCapacity(
  {
    candidates,
    loadCorrection: correction,
    running,
    routerCount,
  }: AdmissionCapacityInput,
  options: Partial<AdmissionCapacityOptions> = {},
): number {
  const {headroom} = {...defaultAdmissionCapacityOptions, ...options};
  let places = 0;
  let load = 0;
  for (const entry of candidates) {
    const {capacity, running: reported, queued} = entry.announcement.load;
    places += capacity;
    load += Math.max(0, reported + queued + correction(entry));
  }
  const equalPart = (places * headroom) / routerCount;
  const free = Math.max(0, places * headroom - load);
  const withFreePart = running + free / routerCount;
  return Math.max(1, Math.round(Math.max(equalPart, withFreePart)));
}
