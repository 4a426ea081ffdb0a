/** Public API of announcements: the state of the local server as it announces it. */
export {
	announcementVerdicts,
	applyAnnouncement,
	evaluateAnnouncement,
	isSameProcess,
	markServerGone,
	markServerLeaving,
	serverStates,
	type AnnouncementVerdict,
	type ServerAnnouncement,
	type ExpectedServer,
	type ServerProcess,
	type ServerRecord,
	type ServerState,
} from './server-record.js';
