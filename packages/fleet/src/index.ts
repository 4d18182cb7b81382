/** @fileoverview Face of the package; see its README. */
export * from './checkConfiguration.js';
export * from './configurationChanges.js';
export * from './decayingRate.js';
export * from './fleetState.js';
export * from './grantPlanner.js';
export * from './grantSizing.js';
export * from './heldGrants.js';
export * from './prepaidAccounts.js';
export * from './rendezvous.js';
export * from './routeTable.js';
export * from './serverChoice.js';
export * from './serverDirectory.js';
export * from './spendingPace.js';
export * from './tokenHolders.js';
export * from './unreportedSpan.js';
export * from './windowedRetryBudget.js';
