/**
 * @fileoverview Refreshes a caller's contract.
 */
import {type RequestDependencies} from './dependencies.js';
import {refusal} from './refusal.js';
import {type Caller} from './requestScope.js';

/**
 * Returns the caller with the newest version of its contract.
 *
 * @throws RefusalError if the contract has been retired or no longer includes
 *     the caller's key.
 */
export async function refreshCaller(
  {contracts}: RequestDependencies,
  {view, workspace}: Caller,
): Promise<Caller> {
  const newest = await contracts.refresh(view.contract.customer);
  if (newest === undefined) throw refusal('unknownKey');
  if (newest.retired) throw refusal('contractRetired');
  const newestWorkspace = newest.contract.workspaces.find(
    candidate => candidate.keyHash === workspace.keyHash,
  );
  if (newestWorkspace === undefined) throw refusal('unknownKey');
  return {view: newest, workspace: newestWorkspace};
}
