/**
 * @fileoverview Brings a caller's contract up to date.
 */
import {type RequestDependencies} from './dependencies.js';
import {refusal} from './refusal.js';
import {type Caller} from './requestScope.js';

/**
 * Returns the caller under the newest contract.
 *
 * @throws RefusalError if the contract has been retired, or no longer has the
 *     caller's key.
 */
export async function refreshCaller(
  {contracts}: RequestDependencies,
  {view, workspace}: Caller,
): Promise<Caller> {
  const newest = await contracts.refresh(view.contract.customer);
  if (newest === undefined) throw refusal('unknownKey');
  if (newest.retired) throw refusal('contractRetired');
  const same = newest.contract.workspaces.find(
    candidate => candidate.keyHash === workspace.keyHash,
  );
  if (same === undefined) throw refusal('unknownKey');
  return {view: newest, workspace: same};
}
