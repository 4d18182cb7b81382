/** @fileoverview Text and exit code for the result of a change. */
import {type ChangeResult, describeFinding} from '@dogwoodtrestle/schema';

import {type ExitCode, exitCodes} from '../exitCodes.js';
import {formatTime} from './units.js';

type ChangeState = ChangeResult['state'];

const exitCodeByState: Record<ChangeState, ExitCode> = {
  accepted: exitCodes.ok,
  pending: exitCodes.pending,
  rejected: exitCodes.findings,
};

const describeByState: Record<ChangeState, (result: ChangeResult) => string[]> =
  {
    accepted: result => [
      `accepted: ${result.customer} version ${result.version}, in force everywhere`,
    ],
    pending: result => [
      `pending: ${result.customer} version ${result.version}${untilText(result)}`,
      ...(result.waitingFor ?? []).map(
        ({holder, grantId}) => `  waits for ${holder} (grant ${grantId})`,
      ),
    ],
    rejected: result => [
      `rejected: ${result.customer} stays at version ${result.version}`,
      ...winnerLines(result),
      ...(result.findings ?? []).map(each => `  ${describeFinding(each)}`),
    ],
  };

/** Returns the exit code for the state of a change. */
export function exitCodeOf(result: ChangeResult): ExitCode {
  return exitCodeByState[result.state];
}

/** Describes the result of a change in a few lines. */
export function describeChange(result: ChangeResult): string {
  const lines = describeByState[result.state](result);
  return [...lines, `change id: ${result.changeId}`].join('\n');
}

function untilText({until}: ChangeResult): string {
  return until === undefined
    ? ''
    : `, accepted at ${formatTime(until)} at the latest`;
}

function winnerLines({winner}: ChangeResult): string[] {
  if (winner === undefined) return [];
  const differs = (winner.differs ?? []).join(', ');
  return [
    `  ${winner.operator} made version ${winner.version} by change ${winner.changeId}`,
    ...(differs === '' ? [] : [`  it differs at ${differs}`]),
  ];
}
