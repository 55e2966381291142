const process = require('node:process');

// Loaded when a listener has a certificate; on the platform none has one.
module.exports = {
	get createServer() {
		return process.getBuiltinModule('node:https').createServer;
	},
};
