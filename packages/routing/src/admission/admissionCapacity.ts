/** @fileoverview Number of requests that one instance may run concurrently. */
import {type BackendEntry} from '../backendDirectory.js';

/** Options of the capacity. */
export interface AdmissionCapacityOptions {
  /**
   * Slots of all routers per slot of the servers. Above 1, so that a server has
   * queued work while it waits for a router to send more.
   */
  headroom: number;
}

/** Default options. */
export const defaultAdmissionCapacityOptions: AdmissionCapacityOptions = {
  headroom: 1.1,
};

/** Servers and routers that share the capacity. */
export interface AdmissionCapacityInput {
  /** Servers that may get work. */
  candidates: readonly BackendEntry[];
  /** Number to add to the reported load; see `LoadTracker.loadCorrection`. */
  loadCorrection: (entry: BackendEntry) => number;
  /** Requests that this instance is running. */
  running: number;
  /** Number of instances that share the servers, including this one. */
  routerCount: number;
}

/**
 * Returns the number of slots of this instance, at least 1: the larger of an
 * equal share of all server slots, and the slots in use plus an equal share of
 * the free ones. An instance with more callers than the others thereby gets
 * more slots while the others need fewer.
 */
export function admissionCapacity(
  {candidates, loadCorrection, running, routerCount}: AdmissionCapacityInput,
  options: Partial<AdmissionCapacityOptions> = {},
): number {
  const {headroom} = {...defaultAdmissionCapacityOptions, ...options};
  let slots = 0;
  let load = 0;
  for (const entry of candidates) {
    const {capacity, running: reported, queued} = entry.announcement.load;
    slots += capacity;
    load += Math.max(0, reported + queued + loadCorrection(entry));
  }
  const equalShare = (slots * headroom) / routerCount;
  const freeSlots = Math.max(0, slots * headroom - load);
  const withFreeShare = running + freeSlots / routerCount;
  return Math.max(1, Math.round(Math.max(equalShare, withFreeShare)));
}
