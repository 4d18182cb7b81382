/**
 * @fileoverview Decides how long a router may collect the events of streams before
 * it relays them.
 *
 * Pattern: interrupt coalescing. The callers of one workspace reach one router, and
 * the events of their streams saturate its processor: each event costs a wake-up, a
 * parse and a write, which is more than its bytes do. A busy router relays what
 * arrived in a short time at once. An idle one relays each event as it arrives.
 */

/** Options of the delay; utilizations are of the processor, 0 to 1. */
export interface CoalescingDelayOptions {
  /** Utilization up to which events are not delayed. */
  idleUtilization: number;
  /** Utilization from which events are delayed by the maximum. */
  busyUtilization: number;
}

/** Default options. */
export const defaultCoalescingDelayOptions: CoalescingDelayOptions = {
  // Half of the processor is left for a surge.
  idleUtilization: 0.5,
  // Below the utilization from which requests are refused.
  busyUtilization: 0.75,
};

/**
 * Returns the time for which events are collected, in milliseconds; 0 if they are
 * relayed as they arrive.
 *
 * @param utilization Utilization of the processor, 0 to 1.
 * @param maxMilliseconds Longest delay of an event that callers accept.
 */
export function coalescingDelay(
  utilization: number,
  maxMilliseconds: number,
  options: Partial<CoalescingDelayOptions> = {},
): number {
  const {idleUtilization, busyUtilization} = {
    ...defaultCoalescingDelayOptions,
    ...options,
  };
  const load =
    (utilization - idleUtilization) / (busyUtilization - idleUtilization);
  return Math.max(0, Math.min(1, load)) * maxMilliseconds;
}
