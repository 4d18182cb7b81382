/** @fileoverview Formats and parses amounts and times. */
import {UsageError} from '../errors.js';

const microsPerUnit = 1_000_000;

const millisecondsPerUnit = {
  s: 1000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
} as const;

/** Formats micros as units of the currency with six decimals. */
export function formatAmount(micros: number): string {
  return (micros / microsPerUnit).toFixed(6);
}

/**
 * Parses an amount in units of the currency, such as `25` or `0.5`.
 *
 * @returns Micros.
 * @throws {UsageError} The text isn't an amount.
 */
export function parseAmount(text: string): number {
  const match = /^(\d+)(?:\.(\d{1,6}))?$/.exec(text);
  if (match === null) {
    throw new UsageError(
      `'${text}' is no amount: write units of the currency, at most six decimals`,
    );
  }
  const [, units = '0', decimals = ''] = match;
  return Number(units) * microsPerUnit + Number(decimals.padEnd(6, '0'));
}

/** Formats milliseconds since the epoch as ISO 8601. */
export function formatTime(milliseconds: number): string {
  return new Date(milliseconds).toISOString();
}

/**
 * Parses a time: ISO 8601, or an age such as `90s`, `15m`, `2h`, `7d`.
 *
 * @returns Milliseconds since the epoch.
 * @throws {UsageError} The text isn't a time.
 */
export function parseTime(text: string, now = Date.now()): number {
  const age = /^(\d+)([smhd])$/.exec(text);
  if (age !== null) {
    const unit = age[2] as keyof typeof millisecondsPerUnit;
    return now - Number(age[1]) * millisecondsPerUnit[unit];
  }
  const time = Date.parse(text);
  if (Number.isNaN(time)) {
    throw new UsageError(
      `'${text}' is no time: write 2026-12-03T10:00:00Z, or an age such as 15m`,
    );
  }
  return time;
}
