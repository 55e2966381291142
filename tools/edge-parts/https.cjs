const process = require('node:process');

// Loads node:https only if a listener has a certificate; on the platform no listener has one.
module.exports = {
	get createServer() {
		return process.getBuiltinModule('node:https').createServer;
	},
};
