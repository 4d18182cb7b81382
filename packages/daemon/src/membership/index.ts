/** @fileoverview Instances and backend servers known at this instance. */
export {
  createAnnouncementRoutes,
  type AnnouncementRoutesOptions,
} from './announcementRoutes.js';
export {
  Membership,
  type MembershipOptions,
  ownPeerAddress,
} from './membership.js';
