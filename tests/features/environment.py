from tests.standins import live


def before_feature(context, feature):
    context.live = live.LiveDeployment()


def after_feature(context, feature):
    context.live.stop()
